package psfront

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/psanswer"
	"persimmonstep/internal/connection/pslinger"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/platform"
)

// finish answers the caller and logs how the call ended.
func (c *call) finish(o outcome) {
	defer c.body.Close(&c.gate.memory)
	switch o := o.(type) {
	case answered:
		c.log(psevent.RequestAnswered, o.answer.Status, "", 0)
		c.prepare()
		c.relay(o.answer)
	case rejected:
		c.log(psevent.RequestRejected, o.status, o.reason, o.after)
		c.gate.rejected(c.arrived, o.after)
		c.refuse(o.status, o.after)
	case failed:
		c.log(psevent.RequestFailed, o.status, o.reason, 0)
		c.refuse(o.status, 0)
	case left:
		c.log(psevent.RequestLeft, 0, "", 0)
		panic(http.ErrAbortHandler)
	}
}

// relay passes an answer on. One that breaks off takes the caller's connection along, so that it
// doesn't look whole.
func (c *call) relay(a *psanswer.Answer) {
	err := a.Relay(c.writer)
	if err == nil {
		return
	}
	t := c.tries[len(c.tries)-1]
	now := c.gate.options.Now()
	var broken *psanswer.BrokenError
	// A caller may take an answer of a known length more slowly than it has time.
	late := !now.Before(c.deadline) && a.Bounded()
	if errors.As(err, &broken) && c.request.Context().Err() == nil && !late {
		t.server.RecordOutcome(0, true, now)
	}
	psevent.AnswerBroken.Log(c.gate.options.Logger, c.headers.ID, t.view.Entry.ID, err.Error())
	// To a caller of HTTP/1.0 an answer without a length ends with its connection.
	pslinger.Reset(c.conn())
	panic(http.ErrAbortHandler)
}

// refuse answers without a backend server.
func (c *call) refuse(status int, after time.Duration) {
	h := c.writer.Header()
	platform.WriteID(h, c.headers.ID)
	if after > 0 {
		platform.WriteRetryAfter(h, after)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.prepare()
	c.writer.WriteHeader(status)
	_, _ = c.writer.Write([]byte(http.StatusText(status) + "\n"))
}

// log writes one line for the call. Failures have a budget of their own.
func (c *call) log(e psevent.Event, status int, reason string, after time.Duration) {
	now := c.gate.options.Now()
	c.gate.options.Metrics.ended(c, e, status, reason, now.Sub(c.arrived))
	budget := &c.gate.failures
	if e.Number == psevent.RequestAnswered.Number {
		budget = &c.gate.successes
	}
	if !budget.Take(now) {
		return
	}
	version, route := int64(0), ""
	if c.snapshot.Index != nil {
		version = c.snapshot.Index.Configuration.Version
	}
	if c.route != nil {
		route = c.route.Name
	}
	e.Log(c.gate.options.Logger, c.headers.ID, c.workspaceName(), route, c.headers.Object, version, status, reason, c.describe(),
		milliseconds(now.Sub(c.arrived)), milliseconds(c.headers.Left), milliseconds(now.Sub(c.snapshot.ServersReadAt)), milliseconds(after))
}

// describe tells each try with the inputs that chose its server.
func (c *call) describe() string {
	var b strings.Builder
	for i, t := range c.tries {
		if i > 0 {
			b.WriteString("; ")
		}
		_, _ = fmt.Fprintf(&b, "%s %s rank=%d load=%.1f loadAge=%s slowness=%.1f failures=%.2f wait=%s run=%s travel=%s warm=%t cold=%t took=%s recall=%.2f keeps=%.2f",
			t.view.Entry.ID, t.ending, t.choice.Rank, t.view.Load, milliseconds(t.view.LoadAge), t.view.Slowness, t.view.FailureRate,
			milliseconds(t.choice.Wait), milliseconds(t.choice.Run), milliseconds(t.choice.Travel), t.choice.Warm, t.view.Cold, milliseconds(t.took), t.view.HomeHitRate, t.view.Retention)
	}
	return b.String()
}

// LogLeftOut logs how many lines were left out since the last call: by the budgets, and
// dropped ones that the output was too slow for.
func (g *Gate) LogLeftOut(dropped int64) {
	if n := dropped + g.successes.LeftOut() + g.failures.LeftOut(); n > 0 {
		psevent.LinesLeftOut.Log(g.options.Logger, n)
	}
}

// milliseconds is a short text of a span.
func milliseconds(d time.Duration) string {
	if d > time.Hour {
		return "never"
	}
	return strconv.FormatInt(d.Milliseconds(), 10) + "ms"
}

// prepare decides, before an answer is written, whether the connection ends with it.
func (c *call) prepare() {
	if c.gate.isLeaving() {
		c.writer.Header().Set("Connection", "close")
	}
	if !c.body.Ended() && c.request.ContentLength != 0 {
		c.answerEarly()
	}
}

// answerEarly lets the answer go out before the rest of the body is in. The connection can't be used
// again, as the rest would be taken for a request.
func (c *call) answerEarly() {
	c.writer.Header().Set("Connection", "close")
	pslinger.Unread(c.conn())
	control := http.NewResponseController(c.writer)
	// A writer that can do neither is one of a test. The server would wait for the rest otherwise,
	// before the answer and after it.
	_ = control.EnableFullDuplex()
	_ = control.SetReadDeadline(time.Now())
}
