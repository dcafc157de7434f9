package main

import (
	"crypto/tls"
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonshift/lagoonshift/internal/tlsfiles"
)

// addAuthority adds the flag by which a command trusts a deployment's own
// authority.
func addAuthority(c *kingpin.CmdClause, file *string) {
	c.Flag("authority", "PEM file of the authority that signed the servers' certificates; by default the VM's own list.").StringVar(file)
}

// newTransport returns a transport that trusts the authority in the file, or
// the VM's own list if the file is empty.
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
