package pstls

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/version/psdoc"
)

const (
	// authorityLife is how long an authority in memory and its certificates are valid.
	authorityLife = 30 * 24 * time.Hour
	// clockSkew covers clocks that are behind.
	clockSkew = time.Hour
	// serialBits is the length of a certificate's serial number.
	serialBits = 120
)

// Authority is a certificate authority in memory, for development systems and tests.
type Authority struct {
	certificate *x509.Certificate
	key         crypto.Signer
}

// NewAuthority makes an authority.
func NewAuthority() (*Authority, error) {
	a := &Authority{}
	template := newTemplate("persimmonstep development authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, key, err := a.sign(template)
	if err != nil {
		return nil, err
	}
	a.key = key
	a.certificate, err = x509.ParseCertificate(der)
	return a, errors.Wrap(err, "read the authority's certificate")
}

// Issue makes the material of a VM.
func (a *Authority) Issue(vm psdoc.Name) (Material, error) {
	template := newTemplate(string(vm))
	template.DNSNames = []string{string(vm)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, key, err := a.sign(template)
	if err != nil {
		return Material{}, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return Material{Certificate: &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, Authorities: pool}, nil
}

// Certificate is the authority's own certificate in DER.
func (a *Authority) Certificate() []byte {
	return a.certificate.Raw
}

func newTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-clockSkew), NotAfter: now.Add(authorityLife)}
}

// sign makes a key and a certificate for it, signed by itself while there is no authority.
func (a *Authority) sign(template *x509.Certificate) ([]byte, crypto.Signer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "make a key")
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, nil, errors.Wrap(err, "make a serial number")
	}
	parent, signer := a.certificate, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	return der, key, errors.Wrap(err, "sign a certificate")
}
