// Package psvm puts one entry VM together.
//
// The parts are made by a dependency injector in [provide]; this file starts and stops
// them. One goroutine, that of the version follower, owns the plan; requests read it
// through an atomic pointer.
package psvm

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/do/v2"

	"persimmonstep/internal/connection/pstls"
	"persimmonstep/internal/process/psadmin"
	"persimmonstep/internal/process/psbudget"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/pspool"
	"persimmonstep/internal/process/pssettings"
	"persimmonstep/internal/request/psgate"
	"persimmonstep/internal/version/psversion"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
)

// Options are what a VM needs besides its settings.
type Options struct {
	// Settings are the VM's settings.
	Settings *pssettings.Settings
	// Listeners are its open sockets.
	Listeners Listeners
	// Logger takes the log lines.
	Logger hclog.Logger
	// LeaveWait is how long the VM goes on accepting callers after it said that it leaves;
	// it should cover the time that callers keep directory answers.
	LeaveWait time.Duration
	// PeerIdentity secures the links to other VMs where the settings name no files; without
	// either they are plain.
	PeerIdentity pstls.Source
	// StopTimeout bounds the wait for running requests.
	StopTimeout time.Duration
	// Adjust, unless nil, changes the request path before it serves, such as to compare
	// policies.
	Adjust func(*psgate.Gate)
}

// VM is a running entry VM.
type VM struct {
	options  Options
	follower *psversion.Follower
	slots    *pspool.Dispatcher
	book     *psbudget.Book
	contact  psgate.Contact
	leaving  atomic.Bool
	callers  *http.Server
	operator *http.Server
	life     *lifecycle
	running  sync.WaitGroup
	cancel   context.CancelFunc
}

// New starts a VM and returns it with its clean-up function, which shuts it down gracefully.
func New(ctx context.Context, o Options) (*VM, func(), error) {
	token, err := psadmin.NewToken(o.Settings.TokenFile, time.Now)
	if err != nil {
		return nil, nil, err
	}
	secure, err := newSecurity(o)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	life := &lifecycle{}
	i := do.New()
	do.ProvideValue(i, secure)
	provide(ctx, i, o, token, life)
	parts, err := invoke(i)
	if err != nil {
		cancel()
		life.cleanUp()
		return nil, nil, err
	}
	v := &VM{options: o, follower: parts.follower, slots: parts.slots, book: parts.book, contact: parts.gate.Contact, life: life, cancel: cancel}
	v.callers = newCallerServer(v.closeWhenLeaving(parts.gate))
	v.operator = newServer(parts.admin.Handler())
	v.start(ctx, parts, secure)
	return v, func() {
		v.stop()
		life.cleanUp()
	}, nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// newCallerServer serves callers by HTTP/1.1 and HTTP/2, the latter without TLS as well.
func newCallerServer(h http.Handler) *http.Server {
	s := newServer(h)
	s.Protocols = &http.Protocols{}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetHTTP2(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

func (v *VM) start(ctx context.Context, p parts, s security) {
	l := v.options.Listeners
	for _, f := range v.life.tasks {
		v.running.Go(func() { f(ctx) })
	}
	v.running.Go(func() { p.hub.Serve(l.Peer) })
	v.running.Go(func() { serve(v.callers, s.listener(l.Callers)) })
	v.running.Go(func() { serve(v.operator, l.Operator) })
	psevent.Started.Log(v.options.Logger, v.options.Settings.Name, l.Callers.Addr(), l.Peer.Addr(), l.Operator.Addr())
}

// serve ends when the server is shut down.
func serve(s *http.Server, l net.Listener) {
	_ = s.Serve(l)
}

// closeWhenLeaving has each connection closed after an answer once the VM leaves. Idle ones
// stay open as long as the VM listens: to close one just as its caller writes a request to
// it would cut the request off. On HTTP/2 the header makes the server send GOAWAY.
func (v *VM) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if v.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// stop says that the VM leaves, serves on until callers know, and waits for running requests.
func (v *VM) stop() {
	o := v.options
	began := time.Now()
	psevent.Stopping.Log(o.Logger, o.Settings.Name)
	v.leaving.Store(true)
	v.life.leave()
	time.Sleep(o.LeaveWait - time.Since(began))
	psevent.StoppedListening.Log(o.Logger, o.Settings.Name, time.Since(began), v.slots.InFlight())
	ctx, cancel := context.WithTimeout(context.Background(), o.StopTimeout)
	defer cancel()
	if v.callers.Shutdown(ctx) != nil {
		_ = v.callers.Close()
	}
	left := v.slots.InFlight()
	v.life.drained()
	_ = v.operator.Close()
	_ = o.Listeners.Peer.Close()
	v.cancel()
	v.running.Wait()
	psevent.Stopped.Log(o.Logger, o.Settings.Name, left)
}

// Ready reports whether the VM has a configuration, knows the withdrawn keys, and may use its own slots and its share
// of the budgets.
func (v *VM) Ready() bool {
	return v.Version() > 0 && v.contact.Informed() && v.book.Ready() && !v.slots.Blocked(v.options.Settings.Name)
}

// Whole reports whether the VM uses all of its slots, not only the part that it keeps
// while it is cut off.
func (v *VM) Whole() bool {
	return v.slots.Cleared()
}

// Version returns the configuration version in force.
func (v *VM) Version() uint64 {
	return v.follower.Plan().Version
}
