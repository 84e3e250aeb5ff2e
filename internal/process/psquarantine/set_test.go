package psquarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// bench is a set with a fake clock.
type bench struct {
	*Set
	now     time.Time
	leaving map[psdoc.Name]bool
}

func newBench() *bench {
	b := &bench{now: time.Unix(1000, 0), leaving: make(map[psdoc.Name]bool)}
	b.Set = New(Options{
		Now: func() time.Time { return b.now }, Leaving: func(n psdoc.Name) bool { return b.leaving[n] },
		Logger: hclog.NewNullLogger(),
	})
	return b
}

var domain = &psplan.Domain{Name: "d"}

func (b *bench) crash(f Fingerprint, server psdoc.Name) bool {
	v := b.Crashed(Run{Fingerprint: f, Workspace: "w", Route: "r", Server: &psplan.Server{Name: server, Domain: domain}})
	b.now = b.now.Add(time.Millisecond)
	return v.Held
}

func (b *bench) holds(f Fingerprint) bool { return b.Held(f) > 0 }

const (
	poison    Fingerprint = 1
	bystander Fingerprint = 2
	third     Fingerprint = 3
)

func TestWhatIsQuarantined(t *testing.T) {
	tests := []struct {
		name  string
		play  func(b *bench)
		wants map[Fingerprint]bool
	}{
		{"one crash", func(b *bench) { b.crash(poison, "a") }, map[Fingerprint]bool{poison: false}},
		{"two crashes", func(b *bench) { b.crash(poison, "a"); b.crash(poison, "b") }, map[Fingerprint]bool{poison: true}},
		{"the same server twice at once", func(b *bench) { b.crash(poison, "a"); b.crash(poison, "a") }, map[Fingerprint]bool{poison: false}},
		{"the same server again later", func(b *bench) {
			b.crash(poison, "a")
			b.now = b.now.Add(time.Minute)
			b.crash(poison, "a")
		}, map[Fingerprint]bool{poison: true}},
		{"answered in between", func(b *bench) { b.crash(poison, "a"); b.Answered(poison); b.crash(poison, "b") }, map[Fingerprint]bool{poison: false}},
		{"answered before", func(b *bench) { b.Answered(poison); b.crash(poison, "a"); b.crash(poison, "b") }, map[Fingerprint]bool{poison: false}},
		{"answered before, then three crashes", func(b *bench) {
			b.Answered(poison)
			b.crash(poison, "a")
			b.crash(poison, "b")
			b.crash(poison, "c")
		}, map[Fingerprint]bool{poison: true}},
		{"bystander of the first crash", func(b *bench) {
			b.crash(poison, "a")
			b.crash(bystander, "a")
			b.crash(poison, "b")
		}, map[Fingerprint]bool{poison: true, bystander: false}},
		{"both servers leaving", func(b *bench) {
			b.leaving["a"], b.leaving["b"] = true, true
			b.crash(poison, "a")
			b.crash(poison, "b")
		}, map[Fingerprint]bool{poison: false}},
		{"a failure domain goes down", func(b *bench) {
			b.crash(third, "c")
			b.crash(third+1, "e")
			b.crash(bystander, "a")
			b.crash(bystander, "b")
		}, map[Fingerprint]bool{bystander: false, third: false}},
		{"two poisons at once", func(b *bench) {
			b.crash(poison, "a")
			b.crash(poison, "b")
			b.crash(third, "c")
			b.crash(third, "e")
		}, map[Fingerprint]bool{poison: true, third: true}},
		{"long ago", func(b *bench) {
			b.crash(poison, "a")
			b.crash(poison, "b")
			b.now = b.now.Add(HoldTime)
			b.Expire()
		}, map[Fingerprint]bool{poison: false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench()
			tt.play(b)
			for f, want := range tt.wants {
				qt.Assert(t, b.holds(f), qt.Equals, want, qt.Commentf("fingerprint %v", f))
			}
		})
	}
}

func TestSuspectsDoNotShareServers(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	c.Assert(b.Reserve(poison, "a"), qt.IsTrue)
	c.Assert(b.Reserve(poison, "a"), qt.IsTrue)
	c.Assert(b.Reserve(bystander, "a"), qt.IsFalse)
	b.Return(poison, "a")
	c.Assert(b.Reserve(bystander, "a"), qt.IsTrue)
}

func TestClearSpreads(t *testing.T) {
	c := qt.New(t)
	a, b := newBench(), newBench()
	a.crash(poison, "a")
	a.crash(poison, "b")
	old := a.news()
	b.learn("a", old)
	c.Assert(b.holds(poison), qt.IsTrue)
	_, found := b.Clear(poison)
	c.Assert(found, qt.IsTrue)
	a.learn("b", b.news())
	c.Assert(a.holds(poison), qt.IsFalse)
	a.learn("late", old)
	c.Assert(a.holds(poison), qt.IsFalse, qt.Commentf("older news are void"))
	_, found = b.Clear(third)
	c.Assert(found, qt.IsFalse)
}

func TestSetIsBounded(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	b.crash(poison, "a")
	b.crash(poison, "b")
	for f := range Fingerprint(2 * maxEntries) {
		b.now = b.now.Add(time.Second / 2)
		b.crash(f+10, psdoc.Name(fmt.Sprint("s", f)))
	}
	c.Assert(len(b.entries) <= maxEntries, qt.IsTrue)
}

// News reach the same end in any order, with any of them repeated.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := newBench()
		var news [][]wireEntry
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				source.crash(poison, psdoc.Name(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server")))
			case 1:
				source.Answered(poison)
			case 2:
				source.Clear(poison)
			}
			news = append(news, source.news())
		}
		var ends []bool
		for i := range 3 {
			b := newBench()
			b.now = source.now
			order := rapid.Permutation(news).Draw(t, fmt.Sprint("order", i))
			for _, n := range append(order, order...) {
				b.learn("source", n)
			}
			ends = append(ends, b.holds(poison))
		}
		for _, e := range ends {
			if e != source.holds(poison) {
				t.Fatalf("source %v, others %v", source.holds(poison), ends)
			}
		}
	})
}

func BenchmarkAnswered(b *testing.B) {
	s := newBench()
	for b.Loop() {
		s.Answered(Of(Parts{Workspace: "w", Route: "r", Method: "GET", Target: "/prices/eggs?size=large"}))
	}
}
