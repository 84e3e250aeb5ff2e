// Package pstls secures connections with certificates.
//
// Links between VMs use mutual TLS: each end shows a certificate that the VMs' authority
// signed, and the name in it must be the name that the VM has in the plan. Certificates
// are read from files, and read again when the files change, so that they can be replaced
// while the VM runs; connections that are open stay as they are.
package pstls

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// reloadInterval is the least time between two looks at the files.
const reloadInterval = time.Second

// Material is what a connection needs to prove itself and to check its other end.
type Material struct {
	// Certificate is the own certificate with its key.
	Certificate *tls.Certificate
	// Authorities holds the authorities that sign the other ends' certificates; nil where
	// other ends show none.
	Authorities *x509.CertPool
}

// Source gives the current material.
type Source interface {
	Material() Material
}

// Fixed is material that never changes.
type Fixed struct {
	Value Material
}

// Material returns the value.
func (f Fixed) Material() Material { return f.Value }

// Files is a source that follows files.
type Files struct {
	certificate, key, authority string
	now                         func() time.Time

	mutex   sync.Mutex
	looked  time.Time
	stamp   [3]time.Time
	current Material
}

// NewFiles reads PEM files. The authority may be empty.
func NewFiles(certificate, key, authority string, now func() time.Time) (*Files, error) {
	f := &Files{certificate: certificate, key: key, authority: authority, now: now}
	m, err := f.read()
	if err != nil {
		return nil, err
	}
	f.current, f.looked, f.stamp = m, now(), f.stamps()
	return f, nil
}

// Material returns the files' content as of the last second. Files that cannot be read, such
// as while they are being replaced, leave it as it was.
func (f *Files) Material() Material {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.now()
	if now.Sub(f.looked) < reloadInterval {
		return f.current
	}
	f.looked = now
	if stamp := f.stamps(); stamp != f.stamp {
		if m, err := f.read(); err == nil {
			f.current, f.stamp = m, stamp
		}
	}
	return f.current
}

// stamps returns the files' times of change.
func (f *Files) stamps() [3]time.Time {
	var out [3]time.Time
	for i, name := range []string{f.certificate, f.key, f.authority} {
		if info, err := os.Stat(name); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

func (f *Files) read() (Material, error) {
	c, err := tls.LoadX509KeyPair(f.certificate, f.key)
	if err != nil {
		return Material{}, errors.Wrap(err, "read the certificate")
	}
	m := Material{Certificate: &c}
	if f.authority == "" {
		return m, nil
	}
	text, err := os.ReadFile(f.authority)
	if err != nil {
		return Material{}, errors.Wrap(err, "read the authority")
	}
	m.Authorities = x509.NewCertPool()
	if !m.Authorities.AppendCertsFromPEM(text) {
		return Material{}, errors.Errorf("%s holds no certificate", f.authority)
	}
	return m, nil
}

// CallerConfig is the configuration of the callers' listener, with HTTP/2 by ALPN.
func CallerConfig(s Source) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.Material().Certificate, nil
		},
	}
}
