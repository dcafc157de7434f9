// Package keys makes a deployment's own certificate authority and a key and
// certificate for each process, for operators who have no authority at hand.
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
	// AuthorityName is the base name of the authority's files.
	AuthorityName = "authority"

	serialBits = 128
	folderMode = 0o700
	keyMode    = 0o600
	// backdate allows for VMs whose clocks are behind.
	backdate = time.Hour
)

// Authority signs certificates.
type Authority struct {
	folder      string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Create makes an authority in the folder, which must not hold one yet.
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

// Issue makes a key and a certificate for the process with the given name,
// valid at the given IP addresses.
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

func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("draw serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}, nil
}

// writeKeyPair makes a key for the template, signs it and writes both files. The
// authority's own certificate is signed by its own key.
func (a *Authority) writeKeyPair(name string, template *x509.Certificate) (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make key of %s: %w", name, err)
	}
	signer := a.key
	if signer == nil {
		signer = key
	}
	signed, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, signer)
	if err != nil {
		return nil, fmt.Errorf("sign certificate of %s: %w", name, err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, fmt.Errorf("encode key of %s: %w", name, err)
	}
	if err := a.writePEM(name+".key", "PRIVATE KEY", encoded); err != nil {
		return nil, err
	}
	return key, a.writePEM(name+".pem", "CERTIFICATE", signed)
}

// writePEM writes one file and refuses to replace an existing one.
func (a *Authority) writePEM(name, kind string, content []byte) error {
	path := filepath.Join(a.folder, name)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyMode)
	if err != nil {
		return fmt.Errorf("write key file: %w", err)
	}
	if err := pem.Encode(file, &pem.Block{Type: kind, Bytes: content}); err != nil {
		_ = file.Close()
		return fmt.Errorf("write key file %s: %w", path, err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("write key file %s: %w", path, err)
	}
	return nil
}
