package psproxy

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/connection/pscaller"
	"persimmonstep/internal/connection/psforward"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/request/psselect"
)

const (
	// maxHelpers is the number of helpers that are tried for one request.
	maxHelpers = 3
	// maxForwarded bounds the requests of other VMs that are in flight at this VM.
	maxForwarded = 256
	// noHelperRetryAfter is the Retry-After time of a VM that reaches neither a server nor a helper. The caller should
	// try another VM soon.
	noHelperRetryAfter = 100 * time.Millisecond
	// reasonNoServers is the reason for rejecting a request at a VM that has lost its links to all servers,
	// reasonHelperBusy and reasonUnknownVM are those for rejecting a forwarded request of too many, and of a VM that the
	// helper doesn't know.
	reasonNoServers  = "noServerLinks"
	reasonHelperBusy = "helperBusy"
	reasonUnknownVM  = "unknownVM"
)

// withoutServers returns the outcome of a call while this VM has lost its links to all servers: the call is forwarded to
// a VM that has them, or rejected. It returns nil while the VM has links.
func (c *call) withoutServers(ctx context.Context) outcome {
	view := c.proxy.control.Snapshot()
	if !view.NoServers {
		return nil
	}
	if c.isForwarded() {
		return rejected{http.StatusServiceUnavailable, reasonNoServers, noHelperRetryAfter}
	}
	allowed := psselect.Allowed(c.route, c.workspace)
	helpers := lo.Filter(view.Helpers, func(h psmessage.Identity, _ int) bool { return allowed(h.Region) })
	for range maxHelpers {
		helper, found := c.proxy.options.Forwarder.Pick(helpers)
		if !found {
			break
		}
		if o := c.forward(ctx, helper); o != nil {
			return o
		}
		helpers = slices.DeleteFunc(helpers, func(h psmessage.Identity) bool { return h.VM == helper.VM })
	}
	return rejected{http.StatusServiceUnavailable, reasonNoServers, min(noHelperRetryAfter, c.remaining(c.proxy.options.Now())/3)}
}

// forward sends the call through a helper. It returns nil if the call can be sent through another one.
func (c *call) forward(ctx context.Context, helper psmessage.Identity) outcome {
	if pscaller.Gone(c.request) {
		return canceled{}
	}
	c.helper = helper.VM
	reply := c.proxy.options.Forwarder.Send(ctx, helper, psforward.Request{
		Caller: c.request, Body: &c.body, Repeatable: c.route.Kind.Repeatable(),
		Left: c.remaining(c.proxy.options.Now()), Attempts: c.sentAttempts(),
	})
	c.proxy.options.Metrics.ObserveForwarded(reply)
	switch r := reply.(type) {
	case psforward.Served:
		return answered{r.Response}
	case psforward.Rejected:
		if !slices.Contains([]string{reasonNoServers, reasonHelperBusy, reasonUnknownVM}, r.Reason) {
			return rejectedByHelper(r)
		}
	case psforward.Failed:
		return failed{r.Status, r.Reason}
	case psforward.Canceled:
		return canceled{}
	}
	if c.body.SingleUse() || ctx.Err() != nil {
		return rejected{http.StatusServiceUnavailable, reasonNoServers, noHelperRetryAfter}
	}
	return nil
}

// rejectedByHelper returns the outcome of a call that a helper has rejected. A helper that rejects the route or the key
// has another version of the configuration, so the caller may retry.
func rejectedByHelper(r psforward.Rejected) outcome {
	switch r.Status {
	case http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusRequestEntityTooLarge:
		return rejected{r.Status, r.Reason, r.RetryAfter}
	}
	return rejected{http.StatusServiceUnavailable, r.Reason, noHelperRetryAfter}
}

// ForwardedHandler returns the handler for requests that other VMs forward. It rejects all other senders.
func (p *Proxy) ForwardedHandler() http.Handler { return http.HandlerFunc(p.serveForwarded) }

func (p *Proxy) serveForwarded(w http.ResponseWriter, r *http.Request) {
	sender, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || !p.control.Snapshot().HasPeer(sender.Addr().Unmap()) {
		psforward.WriteRejected(w.Header(), reasonUnknownVM)
		w.WriteHeader(http.StatusForbidden)
		return
	}
	origin, err := psforward.TakeOrigin(r.Header)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c := p.newCall(w, r)
	c.origin = origin
	defer p.forwarded.Add(-1)
	if p.forwarded.Add(1) > maxForwarded {
		c.finish(rejected{http.StatusServiceUnavailable, reasonHelperBusy, noHelperRetryAfter})
		return
	}
	p.serveCall(c)
}
