package pspeer_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/version/psdoc"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// newHub returns a hub without handlers.
func newHub(t *testing.T, name psdoc.Name) *pspeer.Hub {
	ctx, cancel := context.WithCancel(context.Background())
	h, clean := pspeer.New(ctx, name, pspeer.Plain{})
	t.Cleanup(func() {
		clean()
		cancel()
	})
	return h
}

// serve lets a hub answer and returns where, and how to stop it.
func serve(t *testing.T, h *pspeer.Hub, at string) (pspeer.Peer, func()) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", at)
	qt.Assert(t, err, qt.IsNil)
	var serving sync.WaitGroup
	serving.Go(func() { h.Serve(l) })
	stop := sync.OnceFunc(func() {
		_ = l.Close()
		serving.Wait()
	})
	t.Cleanup(stop)
	return pspeer.Peer{Name: "b", Address: netip.MustParseAddrPort(l.Addr().String())}, stop
}

// echo answers with the caller's name and the parameters.
func echo(_ context.Context, from psdoc.Name, params json.RawMessage) (any, error) {
	return string(from) + " " + string(params), nil
}

func TestCallCarriesTheCallersName(t *testing.T) {
	b := newHub(t, "b")
	b.Handle("echo", echo)
	to, _ := serve(t, b, "127.0.0.1:0")
	var out string
	qt.Assert(t, newHub(t, "a").Call(t.Context(), to, "echo", 7, &out), qt.IsNil)
	qt.Assert(t, out, qt.Equals, "a 7")
	qt.Assert(t, newHub(t, "a").Call(t.Context(), to, "nothing", 7, &out), qt.ErrorMatches, `.*unknown method "nothing".*`)
}

func TestLateAnswersAreDropped(t *testing.T) {
	b := newHub(t, "b")
	release := make(chan struct{})
	b.Handle("echo", func(ctx context.Context, from psdoc.Name, params json.RawMessage) (any, error) {
		if string(params) == "0" {
			<-release
		}
		return echo(ctx, from, params)
	})
	to, _ := serve(t, b, "127.0.0.1:0")
	a := newHub(t, "a")
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	var late string
	qt.Assert(t, a.Call(ctx, to, "echo", 0, &late), qt.ErrorIs, context.DeadlineExceeded)
	close(release)
	// The late answer comes between those of many calls on the same link.
	var calling sync.WaitGroup
	for n := range 100 {
		calling.Go(func() {
			var out string
			qt.Check(t, a.Call(t.Context(), to, "echo", n+1, &out), qt.IsNil)
			want, _ := json.Marshal(n + 1)
			qt.Check(t, out, qt.Equals, "a "+string(want))
		})
	}
	calling.Wait()
	qt.Assert(t, late, qt.Equals, "")
}

func TestLinkComesBack(t *testing.T) {
	b := newHub(t, "b")
	b.Handle("echo", echo)
	to, stop := serve(t, b, "127.0.0.1:0")
	a := newHub(t, "a")
	var out string
	qt.Assert(t, a.Call(t.Context(), to, "echo", 1, &out), qt.IsNil)
	stop()
	a2, clean := pspeer.New(t.Context(), "a2", pspeer.Plain{})
	defer clean()
	qt.Assert(t, a2.Call(t.Context(), to, "echo", 1, &out), qt.IsNotNil)
	// The pause after a failed dial answers at once.
	began := time.Now()
	for range 1000 {
		qt.Assert(t, a2.Call(t.Context(), to, "echo", 1, &out), qt.IsNotNil)
	}
	qt.Assert(t, time.Since(began) < 5*time.Second, qt.IsTrue)
	again := newHub(t, "b")
	again.Handle("echo", echo)
	serve(t, again, to.Address.String())
	for end := time.Now().Add(10 * time.Second); a2.Call(t.Context(), to, "echo", 2, &out) != nil; time.Sleep(10 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
	}
	qt.Assert(t, out, qt.Equals, "a2 2")
}

func TestStalledLinkIsReplaced(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	// The first connection is never answered, as behind a partition that drops packets.
	first := make(chan net.Conn, 1)
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		c, err := l.Accept()
		if err == nil {
			first <- c
		}
	}()
	a := newHub(t, "a")
	to := pspeer.Peer{Name: "b", Address: netip.MustParseAddrPort(l.Addr().String())}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var out string
	qt.Assert(t, a.Call(ctx, to, "echo", 1, &out), qt.ErrorIs, context.DeadlineExceeded)
	<-accepted
	qt.Assert(t, l.Close(), qt.IsNil)
	b := newHub(t, "b")
	b.Handle("echo", echo)
	serve(t, b, to.Address.String())
	qt.Assert(t, a.Call(t.Context(), to, "echo", 2, &out), qt.IsNil)
	qt.Assert(t, out, qt.Equals, "a 2")
	_ = (<-first).Close()
}

// frame puts a message's length in front of it.
func frame(text string) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(text))), text...)
}

func TestConnectionsThatMisbehaveAreClosed(t *testing.T) {
	b := newHub(t, "b")
	called := false
	b.Handle("echo", func(context.Context, psdoc.Name, json.RawMessage) (any, error) {
		called = true
		return nil, nil
	})
	to, _ := serve(t, b, "127.0.0.1:0")
	const call = `{"jsonrpc":"2.0","id":1,"method":"echo","params":1}`
	const greeting = `{"jsonrpc":"2.0","method":"peer.hello","params":{"vm":"a"}}`
	tests := map[string][]byte{
		"call without greeting": frame(call),
		"greeting without name": append(frame(`{"jsonrpc":"2.0","method":"peer.hello","params":{}}`), frame(call)...),
		"greeting of no VM":     append(frame(`{"jsonrpc":"2.0","method":"peer.hello","params":{"vm":"A B"}}`), frame(call)...),
		"two greetings":         append(frame(greeting), frame(greeting)...),
		"no JSON":               append(frame(greeting), frame("{{{")...),
		"too large":             append(frame(greeting), binary.AppendUvarint(nil, 1<<40)...),
		"endless length":        append(frame(greeting), 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255),
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", to.Address.String())
			qt.Assert(t, err, qt.IsNil)
			defer c.Close() //nolint:errcheck // the other end has closed it
			qt.Assert(t, c.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
			_, err = c.Write(data)
			qt.Assert(t, err, qt.IsNil)
			_, err = io.Copy(io.Discard, c)
			var n net.Error
			qt.Assert(t, errors.As(err, &n) && n.Timeout(), qt.IsFalse, qt.Commentf("the connection stays open"))
			qt.Assert(t, called, qt.IsFalse)
		})
	}
}

func TestVMThatDialsIsDialedAtOnce(t *testing.T) {
	a, b := newHub(t, "a"), newHub(t, "b")
	a.Handle("echo", echo)
	b.Handle("echo", echo)
	toA, _ := serve(t, a, "127.0.0.1:0")
	toB, stop := serve(t, newHub(t, "gone"), "127.0.0.1:0")
	stop()
	toB.Name = "b"
	var out string
	// The pause grows to half a second and more.
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		qt.Assert(t, a.Call(t.Context(), toB, "echo", 1, &out), qt.IsNotNil)
	}
	serve(t, b, toB.Address.String())
	qt.Assert(t, b.Call(t.Context(), toA, "echo", 1, &out), qt.IsNil)
	qt.Assert(t, a.Call(t.Context(), toB, "echo", 1, &out), qt.IsNil)
}
