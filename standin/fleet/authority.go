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

// certificateValidity is how long certificates of an authority are valid.
const certificateValidity = 24 * time.Hour

// Authority issues the certificates of a local fleet. Its keys exist in memory
// only.
type Authority struct {
	// PEM is the certificate of the authority.
	PEM  []byte
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	template := newTemplate("local authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	return &Authority{PEM: encodePEM("CERTIFICATE", der), cert: cert, key: key}, nil
}

func newTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{SerialNumber: big.NewInt(now.UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(certificateValidity)}
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// Issue returns a certificate for the node of a VM and its key.
func (a *Authority) Issue(vm string) (cert, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("issue certificate: %w", err)
	}
	template := newTemplate(vm)
	template.DNSNames = []string{vm}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &k.PublicKey, a.key)
	if err != nil {
		return nil, nil, fmt.Errorf("issue certificate: %w", err)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return nil, nil, fmt.Errorf("issue certificate: %w", err)
	}
	return encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", raw), nil
}

// WriteCredentials writes the PEM files of a VM. The authority file holds the
// certificates of all trusted authorities. A node that runs takes new files in
// a few seconds.
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

// pemPath is the path of a PEM file of a VM.
func (f *Fleet) pemPath(v *VM, what string) string {
	return filepath.Join(f.Folder, v.Name+"."+what+".pem")
}
