package fleet

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// certificateValidity is the lifetime of the certificates of an Authority.
const certificateValidity = 24 * time.Hour

// Authority is a certificate authority that issues the certificates of a local
// fleet. Its private key is kept in memory only.
type Authority struct {
	// PEM is the authority's own certificate, PEM-encoded.
	PEM  []byte
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("create certificate authority: %w", err)
	}
	template := newTemplate("local authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("create certificate authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("create certificate authority: %w", err)
	}
	return &Authority{PEM: encodePEM("CERTIFICATE", der), cert: cert, key: key}, nil
}

// newTemplate returns a certificate template with the common name and the
// validity set. The validity begins an hour before now.
func newTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{SerialNumber: big.NewInt(now.UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(certificateValidity)}
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// Issue returns a new certificate for the node of the named VM and its private
// key, both PEM-encoded. The certificate is valid for servers and clients.
func (a *Authority) Issue(vm string) (cert, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("issue certificate for VM %q: %w", vm, err)
	}
	template := newTemplate(vm)
	template.DNSNames = []string{vm}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &k.PublicKey, a.key)
	if err != nil {
		return nil, nil, fmt.Errorf("issue certificate for VM %q: %w", vm, err)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return nil, nil, fmt.Errorf("issue certificate for VM %q: %w", vm, err)
	}
	return encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", raw), nil
}

// WriteCredentials issues a certificate for the node of v and writes the PEM
// files named in its settings. The authority file holds the certificates of all
// trusted authorities. A running node loads changed files within a few seconds.
func (f *Fleet) WriteCredentials(v *VM, issuer *Authority, trusted ...*Authority) error {
	cert, key, err := issuer.Issue(v.Name)
	if err != nil {
		return err
	}
	var authorities []byte
	for _, a := range trusted {
		authorities = append(authorities, a.PEM...)
	}
	for path, text := range map[string][]byte{f.pemPath(v, "certificate"): cert, f.pemPath(v, "key"): key,
		f.pemPath(v, "authority"): authorities} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return fmt.Errorf("write credentials: %w", err)
		}
	}
	return nil
}

// pemPath returns the path of a PEM file of a VM; what is certificate, key or
// authority.
func (f *Fleet) pemPath(v *VM, what string) string {
	return filepath.Join(f.Folder, v.Name+"."+what+".pem")
}
