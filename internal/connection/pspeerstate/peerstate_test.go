package pspeerstate_test

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/pspeerstate"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/psrevision"
	"persimmonstep/platform/psstandin"
)

// source provides a fixed control state, or none.
type source struct {
	state psmessage.ControlState
	found bool
}

func (s source) ControlState() (psmessage.ControlState, bool) { return s.state, s.found }

func (s source) StateTag() (string, time.Duration, bool) { return "7-1", s.state.Age, s.found }

func fetch(t *testing.T, s source, known string) (psmessage.StateResponse, error) {
	t.Helper()
	server := httptest.NewServer(pspeerstate.Handler(s))
	defer server.Close()
	c, clean := pspeerstate.NewClient(nil)
	defer clean()
	return c.Fetch(context.Background(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), known)
}

func TestStateIsTransferred(t *testing.T) {
	want := psmessage.ControlState{
		Configuration: &psconfig.Configuration{
			Version: 7, Services: []psconfig.Service{{Name: "prices"}},
			Routes: []psconfig.Route{{
				Name: "boards", Host: "eggs.test", Prefix: "/boards/", Kind: psconfig.Idempotent, Timeout: time.Second,
				MaxAttempts: 1, Backends: []psconfig.Backend{{Service: "prices", Weight: 1}},
			}},
			Workspaces: []psconfig.Workspace{{Name: "trays", Keys: []psconfig.Digest{psconfig.DigestOf("k-1")}, Rate: 4}},
		},
		Evacuated: []string{"north-a"}, Age: time.Second,
		Servers: []psserver.Entry{{ID: "i-1", Incarnation: time.UnixMilli(5).UTC(), Address: netip.MustParseAddrPort("10.0.0.9:80"), State: psserver.Draining, Service: "prices", FailureDomain: "north-a", Slots: 4}},
	}
	response, err := fetch(t, source{want, true}, "7-0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.ETag, qt.Equals, "7-1")
	qt.Assert(t, response.Unchanged, qt.IsFalse)
	got := response.State
	qt.Assert(t, got.Configuration, qt.DeepEquals, want.Configuration)
	qt.Assert(t, got.Servers[0], qt.Equals, want.Servers[0])
	qt.Assert(t, got.Evacuated, qt.DeepEquals, want.Evacuated)
	qt.Assert(t, got.Age, qt.Equals, want.Age)
}

func TestDesiredStateOmitsServers(t *testing.T) {
	want := psmessage.ControlState{
		Configuration: &psconfig.Configuration{Version: 7}, Evacuated: []string{"north-a"}, DesiredStateRevision: psrevision.New(0, 40),
		Servers: []psserver.Entry{{ID: "i-1", Address: netip.MustParseAddrPort("10.0.0.9:80"), Service: "prices", FailureDomain: "north-a", Slots: 4}},
	}
	server := httptest.NewServer(pspeerstate.DesiredStateHandler(source{want, true}))
	defer server.Close()
	c, clean := pspeerstate.NewClient(nil)
	defer clean()
	got, err := c.FetchDesiredState(context.Background(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	qt.Assert(t, err, qt.IsNil)
	want.Servers = nil
	qt.Assert(t, got, qt.DeepEquals, want)
}

func TestVMWithoutStateRespondsNotFound(t *testing.T) {
	_, err := fetch(t, source{}, "")
	qt.Assert(t, err, qt.ErrorMatches, ".*404.*")
}

// TestUnchangedStateIsNotSentAgain fetches with the tag of the current state.
func TestUnchangedStateIsNotSentAgain(t *testing.T) {
	response, err := fetch(t, source{psmessage.ControlState{Configuration: &psconfig.Configuration{}, Age: time.Minute}, true}, "7-1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Unchanged, qt.IsTrue)
	qt.Assert(t, response.State.Configuration, qt.IsNil)
	qt.Assert(t, response.State.Age, qt.Equals, time.Minute)
}

// TestSlowTransferIsNotCutOff sends the response body in pieces that together take longer than the timeout of the
// response header. The control state of a large fleet takes that long over a slow link.
func TestSlowTransferIsNotCutOff(t *testing.T) {
	body, err := json.Marshal(psmessage.ControlState{Configuration: &psconfig.Configuration{Version: 7}})
	qt.Assert(t, err, qt.IsNil)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Beliefs-Age", "1s")
		for i := range body {
			_, _ = w.Write(body[i : i+1])
			_ = http.NewResponseController(w).Flush()
			if i%20 == 0 {
				time.Sleep(150 * time.Millisecond)
			}
		}
	}))
	defer server.Close()
	c, clean := pspeerstate.NewClient(nil)
	defer clean()
	response, err := c.Fetch(context.Background(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), "")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.State.Configuration.Version, qt.Equals, int64(7))
}

// TestBrokenStateIsUsed covers a VM whose response breaks off after each number of bytes.
func TestBrokenStateIsUsed(t *testing.T) {
	body, err := json.Marshal(psmessage.ControlState{Configuration: &psconfig.Configuration{Version: 7}})
	qt.Assert(t, err, qt.IsNil)
	for _, head := range []string{fmt.Sprintf("Content-Length: %d\r\n", len(body)), "Connection: close\r\n"} {
		text := "HTTP/1.1 200 OK\r\nBeliefs-Age: 1s\r\n" + head + "\r\n" + string(body)
		l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a test's listener
		qt.Assert(t, err, qt.IsNil)
		server, stop := psstandin.StartBreaking(l, text)
		c, clean := pspeerstate.NewClient(nil)
		for n := range len(text) {
			server.Length.Store(int64(n))
			_, err := c.Fetch(t.Context(), server.Address(), "")
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("after %d bytes", n))
		}
		clean()
		stop()
	}
}

// TestStatusThatIsNoStateIsRefused covers a VM in trouble whose status is no status code, or says that a state is unchanged
// which this VM has never had.
func TestStatusThatIsNoStateIsRefused(t *testing.T) {
	for _, status := range []string{"000", "099", "304", "600", "999", "1000", "abc", ""} {
		text := "HTTP/1.1 " + status + " X\r\nBeliefs-Age: 1s\r\nContent-Length: 0\r\n\r\n"
		l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a test's listener
		qt.Assert(t, err, qt.IsNil)
		server, stop := psstandin.StartBreaking(l, text)
		server.Length.Store(int64(len(text)))
		c, clean := pspeerstate.NewClient(nil)
		_, err = c.Fetch(t.Context(), server.Address(), "")
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("status %q", status))
		clean()
		stop()
	}
}

// TestHostileStateIsRefused covers a VM whose response has no end, or takes many times its length when it is decoded.
func TestHostileStateIsRefused(t *testing.T) {
	dense := `{"servers":[` + strings.Repeat("{},", 1<<20) + `{}]}`
	for name, write := range map[string]func(w io.Writer) error{
		"empty servers": func(w io.Writer) error {
			_, _ = io.WriteString(w, dense)
			return io.EOF
		},
		"no end":       func(w io.Writer) error { return repeat(w, strings.Repeat(" ", 32<<10)) },
		"compressed":   func(w io.Writer) error { return repeat(w, strings.Repeat("[", 32<<10)) },
		"long strings": func(w io.Writer) error { return repeat(w, `{"`+strings.Repeat("x", 32<<10)) },
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Beliefs-Age", "1s")
				if name != "compressed" {
					_ = write(w)
					return
				}
				w.Header().Set("Content-Encoding", "gzip")
				z := gzip.NewWriter(w)
				_ = write(z)
				_ = z.Close()
			}))
			defer server.Close()
			c, clean := pspeerstate.NewClient(nil)
			defer clean()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			response, err := c.Fetch(t.Context(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), "")
			runtime.ReadMemStats(&after)
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, response, qt.DeepEquals, psmessage.StateResponse{})
			qt.Check(t, int64(after.TotalAlloc-before.TotalAlloc) < maxStateAllocated, qt.IsTrue, qt.Commentf("%d bytes allocated", after.TotalAlloc-before.TotalAlloc))
		})
	}
}

// maxStateAllocated bounds what a fetch allocates in bytes, which includes the growth of the buffer of a response of 16 MB.
const maxStateAllocated = 128 << 20

// repeat writes a text until that fails.
func repeat(w io.Writer, text string) error {
	for {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
}
