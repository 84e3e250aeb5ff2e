package psinbound

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/psbudget"
	"persimmonstep/internal/connection/pscaller"
	"persimmonstep/internal/connection/pshead"
	"persimmonstep/internal/connection/pslinger"
	"persimmonstep/internal/connection/psopen"
	"persimmonstep/internal/connection/psreply"
	"persimmonstep/internal/connection/pssocket"
	"persimmonstep/internal/request/psconnection"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/platform/psheader"
)

const (
	// overlapBytes is what is held at most of a response until its turn. It is drawn from the budget for each request that runs
	// beside an earlier one; a request for which it isn't available waits.
	overlapBytes = 512 << 10
	// idleMargin and headMargin are added to the limits of time, so that a caller that just keeps them isn't cut off by the
	// time that its packets travel.
	idleMargin = time.Second
	headMargin = 500 * time.Millisecond
	// noMemoryRetryAfter is the Retry-After time of a request whose head doesn't fit into the budget.
	noMemoryRetryAfter = 500 * time.Millisecond
	// firstRequestTime is how long a server that shuts down waits for the first request of an open connection.
	firstRequestTime = time.Second
)

// Conn is a connection of a caller. One goroutine, which runs [Conn.Serve], reads it.
type Conn struct {
	options      *Options
	tcp          net.Conn
	source       *pshead.Source
	account      *psbudget.Account
	closeAccount func()
	// ctx ends when the caller has disconnected or the connection is closed.
	ctx         context.Context //nolint:containedctx // the parent of the contexts of its requests
	cancel      context.CancelFunc
	headerBytes int
	remote      string
	// state is the activity: its kind, and since when in nanoseconds after epoch.
	state atomic.Int64

	mutex    sync.Mutex
	changed  sync.Cond
	pipeline psconnection.Pipeline
	begun    []*Exchange
	// body is the request whose body is still to be read from the connection; nil without one.
	body *Exchange
	// reading is set while the head of a request is read or waits to be begun.
	reading bool
	// peeking is set while the connection is read for the next request, so that a disconnect is detected.
	peeking bool
	// expired is set once the time for a head is over, and the read deadline was set for it.
	expired bool
	// gone is set once the caller has disconnected or the connection is closed.
	gone bool
	// served is set once a request was begun, and last once one was begun that the caller states to be its last.
	served, last bool
}

// epoch is the origin of the times in activities.
var epoch = time.Now()

// kindBits is the number of bits of a kind of activity.
const kindBits = 3

// New returns a connection whose requests have heads of at most headerBytes. It is to be served, or released if it isn't.
func New(o *Options, tcp net.Conn, headerBytes int) *Conn {
	c := &Conn{options: o, tcp: tcp, headerBytes: headerBytes, remote: tcp.RemoteAddr().String()}
	c.changed.L = &c.mutex
	c.account, c.closeAccount = o.Budget.Open(c.evict)
	c.source = pshead.NewSource(tcp, c.account)
	ctx := pscaller.WithConn(psbudget.With(context.Background(), c.account), tcp)
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.setActivity(psconnection.Idle)
	return c
}

func (c *Conn) setActivity(k psconnection.Activity) {
	c.state.Store(int64(time.Since(epoch))<<kindBits | int64(k))
}

// State implements [psopen.Conn].
func (c *Conn) State() psopen.State {
	v := c.state.Load()
	return psopen.State{Activity: psconnection.Activity(v & (1<<kindBits - 1)), Since: epoch.Add(time.Duration(v >> kindBits))}
}

// RemoteAddr returns the address of the caller.
func (c *Conn) RemoteAddr() string { return c.remote }

// MakeRoom implements [psopen.Conn].
func (c *Conn) MakeRoom() { c.Reset(ReasonDescriptors) }

// Serve reads requests until the connection ends.
func (c *Conn) Serve() {
	defer c.end()
	for c.awaitRequest() {
		r, cost, err := c.source.ReadRequest(c.headerBytes)
		if err != nil {
			c.refuse(err)
			return
		}
		if !c.begin(r, cost) {
			c.account.Return(cost)
			return
		}
	}
}

// awaitRequest waits for the first byte of the next request, and until it may be read. It returns false if the connection
// has ended or closes.
func (c *Conn) awaitRequest() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for {
		for c.body != nil && !c.isEnding() {
			c.changed.Wait()
		}
		if c.isEnding() {
			return false
		}
		c.source.Shrink()
		c.peeking = true
		c.mutex.Unlock()
		_, err := c.source.Buffer().Peek(1)
		c.mutex.Lock()
		c.peeking = false
		if err == nil {
			break
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && !c.isEnding() {
			_ = c.tcp.SetReadDeadline(time.Time{})
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.leave()
		}
		return false
	}
	for !c.mayRead() && !c.isEnding() {
		c.changed.Wait()
	}
	if c.isEnding() {
		return false
	}
	c.reading = true
	if c.pipeline.Len() == 0 && !c.source.Complete() {
		c.setActivity(psconnection.SendingHead)
	}
	return true
}

// mayRead reports whether the head of the next request may be read. Nothing is read behind a request that its caller states to be
// the last. While the server shuts down, a head is read only if no request is in progress: there would be no last response to
// close the connection if the caller always has further requests on the way. The mutex must be held.
func (c *Conn) mayRead() bool {
	return c.pipeline.MayRead() && !c.last && (c.pipeline.Len() == 0 || !c.options.Server.IsDraining())
}

// isEnding reports whether no further request begins. The caller holds the mutex.
func (c *Conn) isEnding() bool { return c.gone || c.pipeline.Closing() }

// leave records that the caller has disconnected, which cancels its requests. The caller holds the mutex.
func (c *Conn) leave() {
	c.gone = true
	c.cancel()
	c.changed.Broadcast()
}

// begin runs a request, once it may run. It returns false if the connection ends before.
func (c *Conn) begin(r *http.Request, cost int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	overlaps := r.Body == http.NoBody && c.options.Server.MayOverlap(r)
	held, readAt := int64(0), time.Time{}
	for !c.isEnding() && c.pipeline.Len() > 0 {
		if c.pipeline.MayBegin(overlaps) && c.account.TakeSpare(overlapBytes) {
			held = overlapBytes
			break
		}
		if readAt.IsZero() {
			readAt = time.Now()
		}
		c.changed.Wait()
	}
	c.reading = false
	if c.expired {
		c.expired = false
		_ = c.tcp.SetReadDeadline(time.Time{})
	}
	if c.isEnding() {
		c.account.Return(held)
		return false
	}
	e := newExchange(c, r, readAt, cost, held)
	e.id = c.pipeline.Begin(overlaps)
	if c.pipeline.Len() > 1 {
		e.turn = make(chan struct{})
		c.options.Server.Pipelined()
	}
	if r.Body != http.NoBody {
		c.body = e
	}
	c.begun = append(c.begun, e)
	c.served, c.last = true, r.Close
	if c.pipeline.Len() == 1 {
		// Otherwise an earlier response may be blocked, which lasts.
		c.setActivity(psconnection.Running)
	}
	c.options.Server.Run(e)
	return true
}

// refuse responds to a head that can't be read, after the responses to all earlier requests. The connection closes with
// it.
func (c *Conn) refuse(err error) {
	var head *pshead.Error
	status, reason := http.StatusBadRequest, pshead.Malformed.String()
	if errors.As(err, &head) {
		status, reason = head.Kind.Status(), head.Kind.String()
	}
	c.mutex.Lock()
	if status == 0 {
		c.leave()
	}
	for c.pipeline.Len() > 0 && !c.isEnding() {
		c.changed.Wait()
	}
	ending := c.isEnding()
	if !ending {
		c.pipeline.BeginResponse(true, false)
	}
	c.mutex.Unlock()
	if ending {
		return
	}
	c.options.Server.Refused(c, reason, status)
	h := http.Header{}
	if status == http.StatusServiceUnavailable {
		psheader.WriteRetryAfter(h, noMemoryRetryAfter)
	}
	psreply.WriteRefusal(c.tcp, status, h)
}

// Enforce closes the connection if it is idle for too long, or ends the wait for a head. It detects that the caller has
// disconnected if the connection isn't read because earlier requests run.
func (c *Conn) Enforce(l psconfig.Limits, now time.Time) {
	a := c.State()
	switch d := now.Sub(a.Since); {
	case a.Activity == psconnection.Idle && d > l.IdleTimeout+idleMargin:
		c.closeIfStill(a)
	case a.Activity == psconnection.SendingHead && d > l.HeaderTimeout+headMargin:
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if c.State() == a {
			c.expired = true
			_ = c.tcp.SetReadDeadline(now)
		}
	case a.Activity == psconnection.Running || a.Activity == psconnection.Blocked:
		if a.Activity == psconnection.Running {
			// The caller isn't to blame for the wait for a backend server.
			c.account.Progress()
		}
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if !c.peeking && c.pipeline.Len() > 0 && !c.gone && pssocket.PeerClosed(c.tcp) {
			c.leave()
		}
	}
}

// closeIfStill closes an idle connection, unless it is idle no more.
func (c *Conn) closeIfStill(a psopen.State) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.State() != a || c.reading || c.gone || hasUnread(c.tcp) {
		return
	}
	c.options.Server.Closed(c, ReasonIdle)
	c.leave()
	_ = c.tcp.Close()
}

// CloseIfIdle closes the connection of a server that shuts down if it is idle. On a new one the first request may be on its
// way.
func (c *Conn) CloseIfIdle() {
	c.mutex.Lock()
	served := c.served
	c.mutex.Unlock()
	a := c.State()
	if a.Activity == psconnection.Idle && (served || time.Since(a.Since) > firstRequestTime) {
		c.closeIfStill(a)
	}
}

// evict closes the connection to free its memory, unless its request waits for a backend server. The checks of connections, which
// count that as progress, may be late.
func (c *Conn) evict() {
	if c.State().Activity == psconnection.Running {
		c.account.Spare()
		return
	}
	c.Reset(ReasonMemory)
}

// Reset closes the connection at once and cancels its requests. It is not reset if all responses are complete: the last one
// may still be on its way.
func (c *Conn) Reset(reason string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.gone {
		c.options.Server.Closed(c, reason)
	}
	if a := c.State().Activity; a == psconnection.Idle || a == psconnection.Lingering {
		c.leave()
		_ = c.tcp.Close()
		return
	}
	c.abandon()
}

// abandon resets the connection without a record. The caller holds the mutex.
func (c *Conn) abandon() {
	c.leave()
	pslinger.ResetOnClose(c.tcp)
	_ = c.tcp.Close()
}

// end waits for the requests that still run and closes the connection. The last response may still be on its way, so
// what the caller sends is dropped for a time.
func (c *Conn) end() {
	c.mutex.Lock()
	for c.pipeline.Len() > 0 {
		c.changed.Wait()
	}
	gone := c.gone
	c.mutex.Unlock()
	if t, found := c.tcp.(*net.TCPConn); found && !gone {
		c.setActivity(psconnection.Lingering)
		pslinger.Close(t)
	}
	_ = c.tcp.Close()
	c.Release()
	c.options.Server.Ended(c)
}

// Release gives back what the connection has drawn.
func (c *Conn) Release() {
	c.cancel()
	c.closeAccount()
}

// hasUnread reports whether a connection has received bytes that weren't read.
func hasUnread(c net.Conn) bool { return pssocket.StateOf(c) == pssocket.Pending }
