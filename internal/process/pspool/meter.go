package pspool

import "io"

// Meter wraps a body that the slot's request sends or receives, so that its bytes count
// against the link to the server's region and against the route's cap on shifted bytes.
// It returns the body itself where neither bounds it.
func (s *Slot) Meter(body io.ReadCloser) io.ReadCloser {
	s.dispatcher.mutex.Lock()
	crosses := s.dispatcher.crosses(s.Server.Domain.Region)
	s.dispatcher.mutex.Unlock()
	if body == nil || (!crosses && !s.Shifted) {
		return body
	}
	return &meteredBody{ReadCloser: body, slot: s, crosses: crosses}
}

// meteredBody counts the bytes that are read.
type meteredBody struct {
	io.ReadCloser
	slot    *Slot
	crosses bool
}

// Read reads and counts.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n <= 0 {
		return n, err
	}
	c := b.slot.dispatcher.config
	if b.crosses {
		c.Links.Charge(b.slot.Server.Domain.Region, int64(n))
	}
	if b.slot.Shifted {
		c.Shifts.Charge(b.slot.route, int64(n))
	}
	return n, err
}
