package pstls

import (
	"crypto/tls"
	"net"
	"slices"

	"github.com/pkg/errors"

	"persimmonstep/internal/version/psdoc"
)

// Known reports whether a VM may be on the other end, such as because it is in the plan.
type Known func(vm psdoc.Name) bool

// Peers secures the links between VMs. It is a pspeer.Wrapper.
type Peers struct {
	// Source gives the own certificate and the VMs' authority.
	Source Source
	// Known limits which VMs may call; nil admits all that the authority has signed.
	Known Known
}

// Conn is one end of a link.
type Conn struct {
	*tls.Conn
	known Known
}

// Server secures an accepted connection. It admits only VMs that show a certificate.
func (p Peers) Server(c net.Conn) net.Conn {
	m := p.Source.Material()
	return &Conn{tls.Server(c, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*m.Certificate},
		ClientCAs:    m.Authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// A resumed session would carry an earlier authority's trust over a change.
		SessionTicketsDisabled: true,
	}), p.Known}
}

// Client secures a dialed connection to a VM, whose certificate must bear its name.
func (p Peers) Client(c net.Conn, to psdoc.Name) net.Conn {
	m := p.Source.Material()
	return &Conn{tls.Client(c, &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{*m.Certificate},
		RootCAs:          m.Authorities,
		ServerName:       string(to),
		VerifyConnection: func(s tls.ConnectionState) error { return bears(s, to) },
	}), nil}
}

// VerifyPeer checks that the other end may bear the name. The handshake must be over.
func (c *Conn) VerifyPeer(n psdoc.Name) error {
	if err := bears(c.ConnectionState(), n); err != nil {
		return err
	}
	if c.known != nil && !c.known(n) {
		return errors.Errorf("VM %q is not in the plan", n)
	}
	return nil
}

// bears demands the very name; a wildcard is none.
func bears(s tls.ConnectionState, n psdoc.Name) error {
	if len(s.PeerCertificates) == 0 || !slices.Contains(s.PeerCertificates[0].DNSNames, string(n)) {
		return errors.Errorf("the certificate is not that of VM %q", n)
	}
	return nil
}
