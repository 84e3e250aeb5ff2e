package psregistry

import (
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psserver"
)

// errReserved is the reason for ignoring an entry with the address of a VM, which would send requests in a circle.
var errReserved = errors.New("check server entry: address belongs to a VM")

// check validates an entry.
func (r *Registry) check(e psserver.Entry) error {
	if err := e.Check(); err != nil {
		return err
	}
	if r.options.Reserved != nil && r.options.Reserved(e.Address) {
		return errReserved
	}
	return nil
}

// applyInvalid ignores an entry whose fields are out of range, and logs it once. The entry before it stays valid for its
// lease.
func (r *Registry) applyInvalid(e psserver.Entry, err error, now time.Time) {
	if r.invalid[e.ID] != e {
		r.invalid[e.ID] = e
		psevent.ServerEntryInvalid.Log(r.options.Logger, e.ID, err.Error())
	}
	r.applyUnreadable(e.ID, now)
}

// applyUnreadable records that the row of a server can't be decoded. The entry before it stays valid for its lease.
func (r *Registry) applyUnreadable(id string, now time.Time) {
	if _, found := r.servers[id]; !found {
		return
	}
	if _, found := r.unreadableSince[id]; !found {
		r.unreadableSince[id] = now
	}
}

// expireUnreadable removes the servers whose entry before an unreadable row is no longer valid.
func (r *Registry) expireUnreadable(now time.Time) {
	for id, since := range r.unreadableSince {
		if now.Sub(since) >= leaseHeartbeats*r.options.Heartbeat {
			r.remove(id, now)
		}
	}
}
