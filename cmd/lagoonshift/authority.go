package main

import (
	"crypto/tls"
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonshift/lagoonshift/internal/tlsfiles"
)

// addAuthority adds the flag for the certificate authority of a deployment that
// the command trusts.
func addAuthority(c *kingpin.CmdClause, file *string) {
	c.Flag("authority", "PEM file of the authority that signed the servers' certificates; by default the VM's system authorities.").StringVar(file)
}

// newTransport returns a transport that trusts the authority in the named file,
// or the VM's system authorities if the name is empty.
func newTransport(file string) (*http.Transport, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if file == "" {
		return transport, nil
	}
	pool, err := tlsfiles.ReadPool(file)
	if err != nil {
		return nil, &settingsError{err: err}
	}
	transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}
	return transport, nil
}
