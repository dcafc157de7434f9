// Package keys creates a private certificate authority for a deployment and
// issues a key and a certificate for each process. It is for operators who have no
// certificate authority of their own.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	// AuthorityName is the base name of the authority's key and certificate
	// files.
	AuthorityName = "authority"

	serialBits = 128
	folderMode = 0o700
	keyMode    = 0o600
	// backdate moves the start of validity into the past, so that VMs whose
	// clocks are behind accept new certificates.
	backdate = time.Hour
)

// Authority is a certificate authority that writes keys and certificates to a
// folder.
type Authority struct {
	folder      string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Create creates an authority and writes its key and certificate to the folder. It
// fails if the folder already holds an authority.
func Create(folder, deployment string, validity time.Duration) (*Authority, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fmt.Errorf("create key folder: %w", err)
	}
	template, err := newTemplate("lagoonshift "+deployment, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	a := &Authority{folder: folder, certificate: template}
	key, err := a.writeKeyPair(AuthorityName, template)
	if err != nil {
		return nil, err
	}
	a.key = key
	return a, nil
}

// Issue writes a key and a certificate for the process with the given name. The
// certificate is valid for that name and the given IP addresses, both as server
// and as client.
func (a *Authority) Issue(name string, addresses []net.IP, validity time.Duration) error {
	template, err := newTemplate(name, validity)
	if err != nil {
		return err
	}
	template.IPAddresses = addresses
	template.DNSNames = []string{name}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	_, err = a.writeKeyPair(name, template)
	return err
}

// newTemplate returns a certificate template with a random serial number.
func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}, nil
}

// writeKeyPair generates a key, signs a certificate for it and writes both files.
// The certificate of the authority itself is self-signed.
func (a *Authority) writeKeyPair(name string, template *x509.Certificate) (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key for %s: %w", name, err)
	}
	signer := a.key
	if signer == nil {
		signer = key
	}
	signed, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, signer)
	if err != nil {
		return nil, fmt.Errorf("sign certificate for %s: %w", name, err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, fmt.Errorf("encode key for %s: %w", name, err)
	}
	if err := a.writePEM(name+".key", "PRIVATE KEY", encoded); err != nil {
		return nil, err
	}
	return key, a.writePEM(name+".pem", "CERTIFICATE", signed)
}

// writePEM writes a PEM file. It fails if the file exists.
func (a *Authority) writePEM(name, kind string, content []byte) error {
	path := filepath.Join(a.folder, name)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyMode)
	if err != nil {
		return fmt.Errorf("create PEM file: %w", err)
	}
	if err := pem.Encode(file, &pem.Block{Type: kind, Bytes: content}); err != nil {
		_ = file.Close()
		return fmt.Errorf("write PEM file %s: %w", path, err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("close PEM file %s: %w", path, err)
	}
	return nil
}
