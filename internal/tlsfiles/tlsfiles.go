// Package tlsfiles provides TLS configurations from PEM files. It reloads changed
// files for new connections and keeps existing connections open.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// checkInterval is the minimum time between two checks for changed files.
const checkInterval = time.Second

// Files holds the paths of the PEM files of one listener or client.
type Files struct {
	// Certificate and Key are the certificate chain and the private key of
	// this process.
	Certificate string
	Key         string
	// Authority contains the certificates of the trusted authorities. It is
	// empty for listeners whose clients authenticate with a token.
	Authority string
}

// keyMaterial is the content of the files when they were last read.
type keyMaterial struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	// server is the configuration for handshakes with this content. All
	// handshakes share it, so that sessions can be resumed until the content
	// changes.
	server *tls.Config
	// modified is the latest modification time of the files.
	modified time.Time
}

// Source holds the latest valid content of a set of files. It is safe for
// concurrent use.
type Source struct {
	files     Files
	current   atomic.Pointer[keyMaterial]
	lastCheck atomic.Int64 // time of the last check in Unix nanoseconds
	// now reads the wall clock; tests replace it.
	now           func() time.Time
	onReloadError func(error)
}

// Open reads the files. Changed files are reloaded at the next handshake, at most
// once per checkInterval. If they can't be read, the previous content stays in use
// and onReloadError is called with the error.
func Open(files Files, onReloadError func(error)) (*Source, error) {
	s := &Source{files: files, now: time.Now, onReloadError: onReloadError}
	m, err := readFiles(files)
	if err != nil {
		return nil, err
	}
	s.current.Store(m)
	s.lastCheck.Store(s.now().UnixNano())
	return s, nil
}

// Server returns the configuration of a listener. If the files include an
// authority, clients must present a certificate that it signed.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.load().server, nil
		},
	}
}

// serverConfig returns the configuration for handshakes with the given content.
func serverConfig(m *keyMaterial) *tls.Config {
	c := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2", "http/1.1"},
		Certificates: []tls.Certificate{m.certificate},
	}
	if m.authority != nil {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = m.authority
	}
	return c
}

// Client returns the configuration of a client that presents the certificate and
// trusts only servers whose certificates the authority signed.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.load().certificate, nil
		},
		// The standard verification uses a fixed RootCAs. VerifyConnection
		// performs the same checks against the latest authority.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyServer,
	}
}

var errNoAuthority = errors.New("tlsfiles: verify server: no authority is configured")

// verifyServer checks the server's certificate against the latest authority.
func (s *Source) verifyServer(state tls.ConnectionState) error {
	authority := s.load().authority
	if authority == nil {
		return errNoAuthority
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("tlsfiles: verify server: server presented no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         authority,
		DNSName:       state.ServerName,
		Intermediates: x509.NewCertPool(),
	}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return fmt.Errorf("verify server %s: %w", state.ServerName, err)
	}
	return nil
}

// load returns the latest valid content. It checks the files for changes if the
// last check was at least checkInterval ago.
func (s *Source) load() *keyMaterial {
	last := s.lastCheck.Load()
	now := s.now().UnixNano()
	if now-last < int64(checkInterval) || !s.lastCheck.CompareAndSwap(last, now) {
		return s.current.Load()
	}
	if err := s.reload(); err != nil {
		s.onReloadError(err)
	}
	return s.current.Load()
}

// reload reads the files again if a modification time has changed.
func (s *Source) reload() error {
	modified, err := latestModTime(s.files)
	if err != nil {
		return err
	}
	if modified.Equal(s.current.Load().modified) {
		return nil
	}
	m, err := readFiles(s.files)
	if err != nil {
		return err
	}
	s.current.Store(m)
	return nil
}

func readFiles(files Files) (*keyMaterial, error) {
	modified, err := latestModTime(files)
	if err != nil {
		return nil, err
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, fmt.Errorf("read certificate %s and key %s: %w", files.Certificate, files.Key, err)
	}
	m := &keyMaterial{certificate: certificate, modified: modified}
	if files.Authority != "" {
		m.authority, err = ReadPool(files.Authority)
	}
	if err != nil {
		return nil, err
	}
	m.server = serverConfig(m)
	return m, nil
}

// ReadPool reads the certificates of the authorities in a PEM file.
func ReadPool(path string) (*x509.CertPool, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, fmt.Errorf("read authority %s: file contains no valid PEM certificate", path)
	}
	return pool, nil
}

// latestModTime returns the latest modification time of the files.
func latestModTime(files Files) (time.Time, error) {
	var latest time.Time
	for _, path := range []string{files.Certificate, files.Key, files.Authority} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return time.Time{}, fmt.Errorf("stat key file: %w", err)
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}
