// Package psforward sends callers' requests through another VM when this VM has lost its links to the backend servers.
//
// The other VM, the helper, selects the server and sends the request as if it were that of a caller, except that it does
// not forward it again and does not count it against the rate of its workspace a second time. The helper takes such
// requests at an address of their own, from VMs of the fleet only. The server's response returns unchanged; a response
// that the helper creates itself is marked, so that the first VM knows whether the request may have been executed.
package psforward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"persimmonstep/internal/connection/psattempt"
	"persimmonstep/internal/connection/psbody"
	"persimmonstep/internal/connection/psbudget"
	"persimmonstep/internal/connection/psresponse"
	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/platform/psheader"
)

const (
	// maxInFlight bounds the requests that one VM sends through one helper at the same time.
	maxInFlight = 128
	// nearInFlight is the number of requests in flight from which on helpers that are farther away are used as well.
	nearInFlight = 32
	// maxIdleRepeatable and maxIdleOnce bound the idle time of a connection that is reused, for requests that may be repeated
	// and for those that may run only once. A helper may end while the connection is idle.
	maxIdleRepeatable = 6 * time.Second
	maxIdleOnce       = time.Second
)

// Served requests have the response of a backend server.
type Served struct{ Response *psresponse.Response }

// Rejected requests were not executed and never will be.
type Rejected struct {
	Status     int
	Reason     string
	RetryAfter time.Duration
}

// Failed requests may have been executed.
type Failed struct {
	Status int
	Reason string
}

// Unsent requests did not reach the helper, or not in time.
type Unsent struct{ Result psattempt.Result }

// Canceled requests have lost their caller.
type Canceled struct{}

func (Served) reply()   {}
func (Rejected) reply() {}
func (Failed) reply()   {}
func (Unsent) reply()   {}
func (Canceled) reply() {}

// Request is a caller's request to be forwarded.
type Request struct {
	Caller *http.Request
	Body   *psbody.Body
	// Repeatable states that the request may run more than once.
	Repeatable bool
	// Left is the time until the response is due.
	Left time.Duration
	// Attempts is the number of servers that the request was sent to.
	Attempts int
}

// Forwarder sends requests through helpers. It is safe for concurrent use.
type Forwarder struct {
	// Self is the name of this VM.
	Self string
	// FailureDomain and Region are the location of this VM.
	FailureDomain, Region string
	Transport             *pstransport.Transport

	mutex    sync.Mutex
	inFlight map[string]int
}

// Pick returns the helper for the next request, of helpers that are ordered by their rank. It is the least used of
// the nearest ones, or of all if these are busy. It returns false if there is none with free capacity.
func (f *Forwarder) Pick(helpers []psmessage.Identity) (psmessage.Identity, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var best psmessage.Identity
	least, ties, rank := maxInFlight, 0, -1
	for _, h := range helpers {
		r := h.HelperRank(f.FailureDomain, f.Region)
		if r != rank && least < nearInFlight {
			break
		}
		rank = r
		n := f.inFlight[h.VM]
		switch {
		case n < least:
			best, least, ties = h, n, 1
		case n == least && ties > 0:
			// Each of the helpers that are used equally gets the same probability.
			ties++
			if rand.IntN(ties) == 0 {
				best = h
			}
		}
	}
	return best, ties > 0
}

// Send sends a request through a helper and returns how that ended.
func (f *Forwarder) Send(ctx context.Context, helper psmessage.Identity, r Request) Reply {
	f.count(helper.VM, 1)
	defer f.count(helper.VM, -1)
	address := Address(helper.PeerAddress)
	header := psresponse.EndToEndHeaders(r.Caller.Header)
	Origin{VM: f.Self, Attempts: r.Attempts}.write(header)
	psheader.WriteLeft(header, r.Left)
	id := psheader.ReadRequest(r.Caller.Header).ID
	matches := func(raw *http.Response, _ bool) bool {
		// Responses of the helper itself may have no id.
		return psattempt.Belongs(psheader.ReadResponse(raw.StatusCode, raw.Header).ID, id, false)
	}
	options := pstransport.Options{MaxIdle: maxIdle(r.Repeatable), Matches: matches}
	result, err := f.Transport.SendWith(ctx, address, maxInFlight, psattempt.NewRequest(r.Caller, r.Body, header, address), options)
	if err != nil {
		return replyOfError(psattempt.ResultOfError(ctx, r.Caller, result.Sent, err))
	}
	if own, found := readOwn(result.Response.StatusCode, result.Response.Header); found {
		_ = result.Response.Body.Close()
		psbudget.Of(ctx).Return(result.Held)
		return own
	}
	response, err := psresponse.Read(result.Response, psbudget.Of(ctx), result.Held)
	switch {
	case err != nil:
		return replyOfError(psattempt.ResultOfError(ctx, r.Caller, true, err))
	case response.Class() == psresponse.Unsigned:
		// The helper's HTTP server has rejected the request before its handler.
		response.Close()
		return Unsent{psattempt.Unsigned}
	}
	return Served{response}
}

// maxIdle returns the longest idle time of a connection to a helper that is reused.
func maxIdle(repeatable bool) time.Duration {
	if repeatable {
		return maxIdleRepeatable
	}
	return maxIdleOnce
}

// replyOfError returns the reply to a request without a response.
func replyOfError(r psattempt.Result) Reply {
	switch {
	case r == psattempt.Canceled:
		return Canceled{}
	case r == psattempt.TooLarge:
		return Failed{http.StatusRequestEntityTooLarge, string(r)}
	case r == psattempt.Timeout:
		return Failed{http.StatusGatewayTimeout, string(r)}
	case r.MayHaveExecuted():
		return Failed{http.StatusBadGateway, string(r)}
	}
	return Unsent{r}
}

// InFlight returns the number of requests that this VM sends through a helper now.
func (f *Forwarder) InFlight(helper psmessage.Identity) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.inFlight[helper.VM]
}

func (f *Forwarder) count(vm string, n int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.inFlight == nil {
		f.inFlight = make(map[string]int)
	}
	f.inFlight[vm] += n
	if f.inFlight[vm] == 0 {
		delete(f.inFlight, vm)
	}
}
