package pshealth_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/process/pshealth"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/platform/psheader"
)

// server is a server that responds to probes from a time on, and the control plane for which it is probed.
type server struct {
	up       time.Time
	probes   int
	attempts int
	granted  func(attempt int) bool
	// removedAt is when the server is no longer registered; zero if it stays.
	removedAt time.Time
}

func (s *server) Probe(context.Context, psserver.Entry, string) (psheader.Health, error) {
	s.probes++
	if time.Now().Before(s.up) {
		return psheader.Health{}, errors.New("probe: connection refused")
	}
	return psheader.Health{Healthy: true, Server: "i-1"}, nil
}

func (s *server) Registered(*psserver.Server) bool {
	return s.removedAt.IsZero() || time.Now().Before(s.removedAt)
}

func (s *server) MayProbe(context.Context, *psserver.Server) bool {
	s.attempts++
	return s.granted == nil || s.granted(s.attempts)
}

func (*server) ApplyProbe(*psserver.Server, psheader.Availability, time.Time) {}

// run probes a failed server and returns it once probing has ended.
func run(ctx context.Context, s *server) *psserver.Server {
	c := &pshealth.Checker{Prober: s, Owner: s, Logger: hclog.NewNullLogger(), Now: time.Now}
	v := psserver.New(psserver.Entry{ID: "i-1", Service: "prices", Slots: 4}, "north", time.Now())
	v.MarkFailed(time.Now())
	c.RunAfterFailure(ctx, v, "/healthz")
	return v
}

// TestServerThatWasOutOfReachForLongReturns guards against a server that stays out of use at a VM for good, because it
// was cut off from that VM alone for longer than a fixed number of probes.
func TestServerThatWasOutOfReachForLongReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		s := &server{up: began.Add(20 * time.Minute)}
		v := run(t.Context(), s)
		qt.Assert(t, v.Usable(time.Now()), qt.IsTrue)
		qt.Assert(t, time.Since(began) < 21*time.Minute, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
		qt.Assert(t, s.probes < 200, qt.IsTrue, qt.Commentf("%d probes", s.probes))
	})
}

// TestServerWithoutTokensIsProbedLater refuses most probes of a server with a limit. They don't use up its attempts.
func TestServerWithoutTokensIsProbedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{granted: func(attempt int) bool { return attempt > 100 }}
		v := run(t.Context(), s)
		qt.Assert(t, v.Usable(time.Now()), qt.IsTrue)
		qt.Assert(t, s.probes, qt.Equals, 1)
	})
}

func TestProbingEndsWithRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{up: time.Now().Add(time.Hour), removedAt: time.Now().Add(time.Minute)}
		qt.Assert(t, run(t.Context(), s).Usable(time.Now()), qt.IsFalse)
	})
}
