package psversion_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/process/psstandin"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
	"persimmonstep/internal/version/psversion"
)

func TestDelta(t *testing.T) {
	documents := rapid.MapOf(
		rapid.Custom(func(t *rapid.T) psdoc.Name {
			return psdoc.Name(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"))
		}),
		rapid.SampledFrom([]string{"", "x", "y", "xy"}),
	)
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		old := &psversion.Content{Version: 7, Documents: documents.Draw(t, "old")}
		next := &psversion.Content{Version: 9, Documents: documents.Draw(t, "next")}
		d := psversion.NewDelta(old, next)
		data, err := json.Marshal(d)
		c.Assert(err, qt.IsNil)
		var sent psversion.Delta
		c.Assert(json.Unmarshal(data, &sent), qt.IsNil)
		out, err := sent.Apply(old)
		c.Assert(err, qt.IsNil)
		c.Assert(out, qt.DeepEquals, next)
		other := &psversion.Content{Version: 8, Documents: old.Documents}
		_, err = sent.Apply(other)
		c.Assert(err, qt.IsNotNil)
	})
}

// platform is a store in memory that can be down or serve stale reads.
type platform struct {
	mutex sync.Mutex
	store psstandin.Store
	stale *psstandin.Store
	down  bool
	reads int
}

func (p *platform) set(f func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	f()
}

func (p *platform) Read(_ context.Context, keys ...string) ([]psplatform.Row, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.reads++
	if p.down {
		return nil, &psplatform.UnavailableError{Cause: errors.New("down")}
	}
	if p.stale != nil {
		return p.stale.Read(keys), nil
	}
	return p.store.Read(keys), nil
}

func (p *platform) Scan(context.Context, string, string, int) ([]psplatform.Row, error) {
	return nil, nil
}

func (p *platform) Commit(_ context.Context, t psplatform.Transaction) (uint64, error) {
	revision, refused := p.store.Commit(t)
	if refused != nil {
		return 0, &psplatform.RefusedError{Current: *refused}
	}
	return revision, nil
}

func (p *platform) Put(_ context.Context, name string, content []byte) error {
	p.store.Put(name, content)
	return nil
}

func (p *platform) Get(_ context.Context, name string) ([]byte, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	content, found := p.store.Get(name)
	if !found || p.down {
		return nil, &psplatform.NotFoundError{Name: name}
	}
	return content, nil
}

func (p *platform) Machines(context.Context) ([]psplatform.Machine, time.Duration, error) {
	return nil, 0, nil
}

// links joins followers in memory.
type links struct {
	mutex    sync.Mutex
	handlers map[psdoc.Name]pspeer.Handler
	calls    int
}

// end is one VM's end of the links.
type end struct {
	links *links
	name  psdoc.Name
}

func (e end) Handle(_ string, f pspeer.Handler) { e.links.handlers[e.name] = f }

func (e end) Call(ctx context.Context, to pspeer.Peer, _ string, params, result any) error {
	e.links.mutex.Lock()
	e.links.calls++
	f := e.links.handlers[to.Name]
	e.links.mutex.Unlock()
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := f(ctx, e.name, data)
	if err != nil {
		return err
	}
	if data, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// network is a configuration with two VMs and a number that makes versions differ.
func network(n int) psversion.Change {
	text := fmt.Sprintf("# %d\ndocument = \"network\"\n[[regions]]\nname = \"r\"\n[[failureDomains]]\nname = \"d\"\nregion = \"r\"\n", n)
	for i, vm := range []string{"a", "b"} {
		text += fmt.Sprintf("[[vms]]\nname = %q\nfailureDomain = \"d\"\n", vm)
		for j, field := range []string{"callers", "peer", "operator"} {
			text += fmt.Sprintf("%s = %q\n", field, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(10*i+j+1)))
		}
	}
	return psversion.Change{OperationID: fmt.Sprintf("op-%d", n), Put: map[string]string{"network.toml": text}}
}

// follow starts a follower and records each version that it puts in force.
func follow(ctx context.Context, p *platform, l *links, name psdoc.Name, polls bool, installed func(uint64)) *psversion.Follower {
	f := psversion.NewFollower(&psversion.Store{Platform: p, Now: time.Now}, hclog.NewNullLogger())
	f.Connect(end{l, name}, func() bool { return polls })
	f.OnInstall(func(plan *psplan.Plan, _ psdoc.Name) { installed(plan.Version) })
	go f.Run(ctx)
	return f
}

func TestCutOffFromThePlatformButNotFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, stop := context.WithCancel(t.Context())
		p, cutOff, l := &platform{}, &platform{}, &links{handlers: make(map[psdoc.Name]pspeer.Handler)}
		store := &psversion.Store{Platform: p, Now: time.Now}
		for n := range 3 {
			_, err := store.Apply(ctx, network(n))
			c.Assert(err, qt.IsNil)
			if n == 0 {
				// What b can read of the platform ends at the first version.
				h, err := store.Latest(ctx)
				c.Assert(err, qt.IsNil)
				content, err := store.Load(ctx, h)
				c.Assert(err, qt.IsNil)
				data, err := json.Marshal(content)
				c.Assert(err, qt.IsNil)
				cutOff.store.Put(h.Object, data)
				cutOff.store.Commit(psplatform.Transaction{Writes: []psplatform.Write{{Key: "config/head", Value: p.store.Read([]string{"config/head"})[0].Value}}})
			}
		}
		a := follow(ctx, p, l, "a", true, func(uint64) {})
		b := follow(ctx, cutOff, l, "b", false, func(uint64) {})
		synctest.Wait()
		c.Assert([]uint64{a.Plan().Version, b.Plan().Version}, qt.DeepEquals, []uint64{3, 1})
		cutOff.set(func() { cutOff.down = true })
		b.Consume("a", a.Produce())
		synctest.Wait()
		c.Assert(b.Plan().Version, qt.Equals, uint64(3))
		// The other way nothing is learned, and nothing is asked.
		calls := l.calls
		a.Consume("b", json.RawMessage(`{"v":1}`))
		synctest.Wait()
		c.Assert(a.Plan().Version, qt.Equals, uint64(3))
		c.Assert(l.calls, qt.Equals, calls)
		stop()
		synctest.Wait()
	})
}

// TestVersionsNeverRevert applies versions while the followers' reads are stale at random,
// peers lag and tell of versions that do not exist.
func TestVersionsNeverRevert(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		versions := rapid.IntRange(1, 8).Draw(rt, "versions")
		var failure string
		synctest.Test(t, func(t *testing.T) { failure = runVersions(t.Context(), seed, versions) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

func runVersions(ctx context.Context, seed uint64, versions int) (failure string) {
	random := rand.New(rand.NewPCG(seed, 1))
	ctx, stop := context.WithCancel(ctx)
	p, l := &platform{}, &links{handlers: make(map[psdoc.Name]pspeer.Handler)}
	var mutex sync.Mutex
	var followers []*psversion.Follower
	for i, name := range []psdoc.Name{"a", "b"} {
		last := uint64(0)
		followers = append(followers, follow(ctx, p, l, name, i == 0, func(v uint64) {
			mutex.Lock()
			defer mutex.Unlock()
			if v <= last {
				failure = fmt.Sprintf("VM %s went from version %d to %d", name, last, v)
			}
			last = v
		}))
	}
	old := &psstandin.Store{}
	store := &psversion.Store{Platform: p, Now: time.Now}
	for n := range versions {
		p.set(func() { p.stale = nil })
		if _, err := store.Apply(ctx, network(n)); err != nil {
			failure = err.Error()
		}
		if random.IntN(2) == 0 {
			old = &psstandin.Store{}
			old.Commit(psplatform.Transaction{Writes: []psplatform.Write{{Key: "config/head", Value: p.store.Read([]string{"config/head"})[0].Value}}})
		}
		p.set(func() {
			p.down = random.IntN(3) == 0
			if random.IntN(2) == 0 {
				p.stale = old
			}
		})
		for range random.IntN(4) {
			followers[random.IntN(2)].LearnFrom(uint64(random.IntN(versions+3)), psdoc.Name([]string{"a", "b", "c"}[random.IntN(3)]))
			time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		}
		p.set(func() { p.down = false })
	}
	p.set(func() { p.stale, p.down = nil, false })
	time.Sleep(time.Minute)
	for _, f := range followers {
		if f.Plan().Version != uint64(versions) {
			failure = fmt.Sprintf("version %d of %d in the end", f.Plan().Version, versions)
		}
	}
	stop()
	time.Sleep(time.Second)
	return failure
}

// TestOnlyThePollerPolls counts the reads of VMs that are not their domain's poller.
func TestOnlyThePollerPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, stop := context.WithCancel(t.Context())
		p, l := &platform{}, &links{handlers: make(map[psdoc.Name]pspeer.Handler)}
		_, err := (&psversion.Store{Platform: p, Now: time.Now}).Apply(ctx, network(0))
		c.Assert(err, qt.IsNil)
		f := follow(ctx, p, l, "a", false, func(uint64) {})
		synctest.Wait()
		c.Assert(f.Plan().Version, qt.Equals, uint64(1))
		p.set(func() { p.reads = 0 })
		time.Sleep(time.Minute)
		p.set(func() { c.Assert(p.reads >= 3 && p.reads <= 13, qt.IsTrue, qt.Commentf("%d reads", p.reads)) })
		stop()
		synctest.Wait()
	})
}
