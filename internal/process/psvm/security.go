package psvm

import (
	"crypto/tls"
	"net"
	"time"

	"persimmonstep/internal/connection/pscaller"
	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/connection/pstls"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psversion"
)

// security holds the certificates of a VM; a nil source leaves connections plain.
type security struct {
	callers pstls.Source
	peers   pstls.Source
}

// newSecurity reads the files that the settings name.
func newSecurity(o Options) (security, error) {
	s := security{peers: o.PeerIdentity}
	t := o.Settings.TLS
	if t.CallerCertificate != "" {
		f, err := pstls.NewFiles(t.CallerCertificate, t.CallerKey, "", time.Now)
		if err != nil {
			return s, err
		}
		s.callers = f
	}
	if t.PeerCertificate != "" {
		f, err := pstls.NewFiles(t.PeerCertificate, t.PeerKey, t.PeerAuthority, time.Now)
		if err != nil {
			return s, err
		}
		s.peers = f
	}
	return s, nil
}

// wrapper secures the links to other VMs.
func (s security) wrapper(f *psversion.Follower) pspeer.Wrapper {
	if s.peers == nil {
		return pspeer.Plain{}
	}
	return pstls.Peers{Source: s.peers, Known: func(n psdoc.Name) bool {
		p := f.Plan()
		_, found := p.VM(n)
		// A VM without a configuration learns it from whoever the authority vouches for.
		return found || p.Version == 0
	}}
}

// listener secures the callers' address. The HTTP server finds HTTP/2 on TLS connections
// only if they come to it as they are.
func (s security) listener(l net.Listener) net.Listener {
	if s.callers == nil {
		return pscaller.Listener(l)
	}
	return tls.NewListener(l, pstls.CallerConfig(s.callers))
}
