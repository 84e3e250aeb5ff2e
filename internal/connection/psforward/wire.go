package psforward

import (
	"net/http"
	"net/netip"
	"strconv"

	"github.com/pkg/errors"

	"persimmonstep/platform/psheader"
)

const (
	// headerFrom names the VM that forwards a request, and headerAttempts is the number of servers that it has sent the
	// request to.
	headerFrom     = "Steer-From"
	headerAttempts = "Steer-Attempts"
	// headerOutcome marks a response that the helper created itself, and headerReason gives the reason.
	headerOutcome = "Steer-Outcome"
	headerReason  = "Steer-Reason"

	outcomeRejected = "rejected"
	outcomeFailed   = "failed"
)

// portOffset is the distance of the port for forwarded requests from the port for messages between VMs.
const portOffset = 2

// maxAttempts bounds the number of attempts that a VM may state.
const maxAttempts = 100

// Address returns the address at which a VM takes forwarded requests. peer is its address for messages of other VMs.
func Address(peer netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(peer.Addr(), peer.Port()+portOffset)
}

// Origin describes where a forwarded request comes from.
type Origin struct {
	// VM is the VM that forwards the request; empty for the request of a caller.
	VM string
	// Attempts is the number of servers that this VM has sent the request to.
	Attempts int
}

// write adds the origin to the headers of a request.
func (o Origin) write(h http.Header) {
	h.Set(headerFrom, o.VM)
	h.Set(headerAttempts, strconv.Itoa(o.Attempts))
}

// TakeOrigin removes the origin from the headers of a forwarded request and returns it.
func TakeOrigin(h http.Header) (Origin, error) {
	o := Origin{VM: h.Get(headerFrom)}
	attempts := h.Get(headerAttempts)
	h.Del(headerFrom)
	h.Del(headerAttempts)
	n, err := strconv.Atoi(attempts)
	if o.VM == "" || err != nil || n < 0 || n > maxAttempts {
		return Origin{}, errors.Errorf("read forwarded request: invalid origin %q or attempts %q", o.VM, attempts)
	}
	o.Attempts = n
	return o, nil
}

// WriteRejected marks a response to a forwarded request that was not executed.
func WriteRejected(h http.Header, reason string) { writeOutcome(h, outcomeRejected, reason) }

// WriteFailed marks a response to a forwarded request that may have been executed.
func WriteFailed(h http.Header, reason string) { writeOutcome(h, outcomeFailed, reason) }

// RemoveOutcome removes the mark from the response of a server, which must not claim to be the helper's own.
func RemoveOutcome(h http.Header) {
	h.Del(headerOutcome)
	h.Del(headerReason)
}

func writeOutcome(h http.Header, outcome, reason string) {
	h.Set(headerOutcome, outcome)
	h.Set(headerReason, reason)
}

// Reply is how forwarding a request ended: [Served], [Rejected], [Failed] or [Unsent].
type Reply interface{ reply() }

// readOwn returns the reply in a response that the helper created itself; false if it comes from a server.
func readOwn(status int, h http.Header) (Reply, bool) {
	reason := h.Get(headerReason)
	switch h.Get(headerOutcome) {
	case outcomeRejected:
		return Rejected{status, reason, psheader.ReadRetryAfter(h)}, true
	case outcomeFailed:
		return Failed{status, reason}, true
	}
	return nil, false
}
