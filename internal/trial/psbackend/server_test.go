package psbackend_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"persimmonstep/internal/trial/psbackend"
	"persimmonstep/internal/trial/psbehaviour"
	"persimmonstep/platform/psheader"
	"persimmonstep/platform/psstandin"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func start(t *testing.T, b psbehaviour.Behaviour) (*psbackend.Server, *http.Client) {
	t.Helper()
	s, stop, err := psbackend.New(t.Context(), "s1", netip.MustParseAddrPort("127.0.0.1:0"))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(stop)
	s.Set(b)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return s, &http.Client{Transport: transport}
}

// outcome is the result of one request at the client.
type outcome struct {
	status         int
	body           string
	err, truncated bool
}

func get(ctx context.Context, c *http.Client, s *psbackend.Server, marker string) outcome {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address.String()+"/x", strings.NewReader("body"))
	if err != nil {
		panic(err)
	}
	r.GetBody = nil
	r.Header.Set(psbehaviour.HeaderMarker, marker)
	psstandin.WriteRequestHeaders(r.Header, psheader.Request{ID: "k"})
	response, err := c.Do(r)
	if err != nil {
		return outcome{err: true}
	}
	defer response.Body.Close() //nolint:errcheck // the body was read
	body, err := io.ReadAll(response.Body)
	return outcome{status: response.StatusCode, body: string(body), truncated: err != nil}
}

func TestOutcomeOfEachFaultKind(t *testing.T) {
	tests := []struct {
		kind      psbehaviour.FaultKind
		status    int
		err       bool
		truncated bool
		runs      int
	}{
		{"", 200, false, false, 1},
		{psbehaviour.FaultHang, 0, true, false, 1},
		{psbehaviour.FaultSlow, 200, false, false, 1},
		{psbehaviour.FaultLate, 200, false, false, 1},
		{psbehaviour.FaultHalfLength, 200, false, true, 1},
		{psbehaviour.FaultHalfChunked, 200, false, true, 1},
		{psbehaviour.FaultCloseAfter, 200, false, false, 1},
		{psbehaviour.FaultCut, 0, true, false, 1},
		{psbehaviour.FaultFail, 500, false, false, 1},
		{psbehaviour.FaultShed, 503, false, false, 0},
		{psbehaviour.FaultCrash, 0, true, false, 1},
	}
	for _, tt := range tests {
		t.Run(string(tt.kind), func(t *testing.T) {
			c := qt.New(t)
			s, client := start(t, psbehaviour.Behaviour{Faults: []psbehaviour.Fault{{Marker: "m", Kind: tt.kind, Delay: time.Millisecond}}})
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			o := get(ctx, client, s, "m")
			c.Assert(o.status, qt.Equals, tt.status)
			c.Assert(o.err, qt.Equals, tt.err)
			c.Assert(o.truncated, qt.Equals, tt.truncated)
			c.Assert(s.Runs()["k"], qt.Equals, tt.runs)
			s.Start()
			// The next request must not use a connection that the server is about to close.
			client.CloseIdleConnections()
			o = get(t.Context(), client, s, "other")
			c.Assert(o.status, qt.Equals, 200, qt.Commentf("a request that the fault does not apply to"))
		})
	}
}

func TestRequestsBeyondSlotsAreShed(t *testing.T) {
	c := qt.New(t)
	s, client := start(t, psbehaviour.Behaviour{Slots: 2, ServiceTime: 200 * time.Millisecond})
	statuses := make(chan int)
	for range 4 {
		go func() { statuses <- get(t.Context(), client, s, "").status }()
	}
	counts := make(map[int]int)
	for range 4 {
		counts[<-statuses]++
	}
	c.Assert(counts, qt.DeepEquals, map[int]int{200: 2, 503: 2})
	c.Assert(s.Stats().PeakRunning, qt.Equals, 2)
	c.Assert(s.Stats().Shed, qt.Equals, 2)
}

func TestFaultHonorsEveryAndCount(t *testing.T) {
	c := qt.New(t)
	s, client := start(t, psbehaviour.Behaviour{Faults: []psbehaviour.Fault{{Kind: psbehaviour.FaultFail, Every: 2, Count: 2}}})
	var got []int
	for range 6 {
		got = append(got, get(t.Context(), client, s, "").status)
	}
	c.Assert(got, qt.DeepEquals, []int{200, 500, 200, 500, 200, 200})
}
