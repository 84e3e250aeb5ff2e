package psoutcome

import (
	"persimmonstep/internal/connection/pscrash"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/pshealth"
)

// checkCrash checks whether a server that lost a request has crashed, and counts the crash against the request. The
// crash is confirmed once the VM reaches another server.
func (r *Recorder) checkCrash(a Attempt) {
	entry := a.View.Entry
	switch r.crashes.Check(entry.ID, entry.Address, r.Now) {
	case pscrash.Up:
		return
	case pscrash.FoundDown:
		r.Failures.ServerFailed(a.Server, pshealth.ReasonCrashed, a.RequestID)
	}
	count := r.Blocklist.AddSuspected(a.Fingerprint, r.Now())
	psevent.CrashCounted.Log(r.Logger, a.RequestID, uint64(a.Fingerprint), entry.ID, count)
	r.Links.OnceConnected(func() { r.Blocklist.Confirm(a.Fingerprint) })
}
