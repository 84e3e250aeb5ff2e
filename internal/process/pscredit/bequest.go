package pscredit

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/version/psdoc"
)

// offerTime is how long a guardian takes what a stopping VM leaves after it offered to. A
// message that was held up for longer must not take effect, since the VM may be back.
const offerTime = 2 * time.Second

// offer is a guardian's readiness to take what one VM leaves.
type offer struct {
	ticket uint64
	made   time.Time
}

// Bequeath leaves the slots of this VM, which has no request left, to its guardian, so that
// they are not idle until the guardian has adopted the share. This VM uses none of its
// slots afterwards, whether the guardian got them or not.
func (b *Bank) Bequeath(ctx context.Context) {
	left := b.config.Dispatcher.Bequeath()
	p := b.config.Plans.Plan()
	g := b.config.Fence.Guardian(p, b.config.Self)
	if g == nil || len(left) == 0 {
		return
	}
	var out offerResponse
	if b.config.Peers.Call(ctx, peerOf(g), methodOffer, struct{}{}, &out) != nil {
		return
	}
	if b.config.Peers.Call(ctx, peerOf(g), methodLeave, leaveRequest{Ticket: out.Ticket, Left: left}, nil) == nil {
		psevent.SlotsLeft.Log(b.config.Logger, g.Name, len(left))
	}
}

func (b *Bank) onOffer(_ context.Context, from psdoc.Name, _ json.RawMessage) (any, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tickets++
	b.offers[from] = offer{ticket: b.tickets, made: b.config.Now()}
	return offerResponse{Ticket: b.tickets}, nil
}

func (b *Bank) onLeave(_ context.Context, from psdoc.Name, params json.RawMessage) (any, error) {
	var in leaveRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, errors.Wrap(err, "decode what a VM leaves")
	}
	g := b.config.Fence.Guardian(b.config.Plans.Plan(), from)
	if g == nil || g.Name != b.config.Self {
		return nil, errors.Errorf("VM %s is not the guardian of VM %s", b.config.Self, from)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	o, found := b.offers[from]
	delete(b.offers, from)
	if !found || o.ticket != in.Ticket || b.config.Now().Sub(o.made) > offerTime {
		return nil, errors.New("the offer is not open any more")
	}
	b.config.Dispatcher.Inherit(from, in.Left)
	psevent.SlotsInherited.Log(b.config.Logger, from, len(in.Left))
	return struct{}{}, nil
}
