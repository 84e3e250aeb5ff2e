package pshealth

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"persimmonstep/internal/request/psgate"
)

// Headers by which a backend server speaks of itself.
const (
	headerNotRun   = "X-Not-Run"
	headerDraining = "X-Draining"
	headerLoad     = "X-Load"
)

// ending is what the end of an attempt says about its server: [good], [failed], [shed],
// [unreachable] or [silent].
type ending interface {
	ending()
}

// good is an answer that the server stands behind.
type good struct{}

// failed is a server error, a lost connection or a timeout.
type failed struct {
	// timeout says that no answer came in time.
	timeout bool
}

// shed is a request that the server turned away because it is full.
type shed struct{}

// unreachable is a connection that could not be opened.
type unreachable struct {
	// timeout says that nothing answered, which may as well be this VM's own trouble.
	timeout bool
}

// silent says nothing, such as a request whose caller went away.
type silent struct{}

func (good) ending()        {}
func (failed) ending()      {}
func (shed) ending()        {}
func (unreachable) ending() {}
func (silent) ending()      {}

// minTimeout is the shortest wait after which a missing answer is held against a server. A
// request that came with less time left says nothing.
const minTimeout = 200 * time.Millisecond

// sortEnding tells what an observation says.
func sortEnding(o psgate.Observation) ending {
	if o.Err == nil {
		return sortStatus(o)
	}
	switch {
	case errors.Is(o.Err, context.Canceled):
		return silent{}
	case isDial(o.Err):
		return sortDial(o)
	case isTimeout(o.Err):
		if o.Duration < minTimeout {
			return silent{}
		}
		return failed{timeout: true}
	}
	return failed{}
}

// isDial reports whether no connection could be opened.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func sortDial(o psgate.Observation) ending {
	if errors.Is(o.Err, context.DeadlineExceeded) && o.Duration < minTimeout {
		return silent{}
	}
	return unreachable{timeout: isTimeout(o.Err)}
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &n) && n.Timeout())
}

func sortStatus(o psgate.Observation) ending {
	switch o.Status {
	case http.StatusServiceUnavailable:
		if o.Header.Get(headerNotRun) != "" {
			return shed{}
		}
		return failed{}
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return failed{}
	}
	return good{}
}

// reportedLoad reads the load hint; it reports false where there is none.
func reportedLoad(h http.Header) (float64, bool) {
	v, err := strconv.ParseFloat(h.Get(headerLoad), 64)
	return v, err == nil && v >= 0
}
