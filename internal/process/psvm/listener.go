package psvm

import (
	"context"
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/pssettings"
)

// Listeners are the open sockets of a VM.
type Listeners struct {
	Callers  net.Listener
	Peer     net.Listener
	Operator net.Listener
}

// Listen opens the sockets that the settings name.
func Listen(ctx context.Context, s *pssettings.Settings) (Listeners, error) {
	var out Listeners
	var config net.ListenConfig
	open := []struct {
		address netip.AddrPort
		into    *net.Listener
	}{{s.Callers, &out.Callers}, {s.Peer, &out.Peer}, {s.Operator, &out.Operator}}
	for _, o := range open {
		l, err := config.Listen(ctx, "tcp", o.address.String())
		if err != nil {
			out.Close()
			return Listeners{}, errors.Wrapf(err, "listen on %s", o.address)
		}
		*o.into = l
	}
	return out, nil
}

// Close closes the sockets that are open.
func (l Listeners) Close() {
	for _, s := range []net.Listener{l.Callers, l.Peer, l.Operator} {
		if s != nil {
			_ = s.Close()
		}
	}
}
