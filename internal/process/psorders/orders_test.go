package psorders_test

import (
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"persimmonstep/internal/process/psorders"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/psmoment"
	"persimmonstep/platform"
)

// storeState is the state of a store that holds the operator's rows. The store can be restored from backups;
// rows that a restore lost are written again later.
type history struct {
	at            psmoment.Moment
	configuration int64
	evacuated     map[string]bool
}

func (s history) copied() history {
	s.evacuated = maps.Clone(s.evacuated)
	return s
}

func (s history) orders() platform.Orders {
	o := platform.Orders{At: s.at, Changed: s.at, Evacuated: slices.Sorted(maps.Keys(s.evacuated))}
	if s.configuration > 0 {
		o.Configuration = &psconfig.Configuration{Version: s.configuration}
	}
	return o
}

// model consists of the operator, the store with its backups and past reads, and one VM.
type world struct {
	// desired holds the operator's latest orders, store what the store holds of them.
	wanted, store history
	copies, reads []history
	vm            *psorders.Orders
	// lastRead is the revision of the VM's last full read. restored is set after a read of a new era.
	known    psmoment.Moment
	restored bool
	version  int64
}

// order changes one of the operator's orders and writes it to the store.
func (m *world) order(t *rapid.T) {
	domain := rapid.SampledFrom([]string{"north-a", "south-a"}).Draw(t, "domain")
	switch rapid.IntRange(0, 2).Draw(t, "order") {
	case 0:
		m.wanted.configuration++
		m.store.configuration = m.wanted.configuration
	case 1:
		m.wanted.evacuated[domain] = true
		m.store.evacuated[domain] = true
	default:
		delete(m.wanted.evacuated, domain)
		delete(m.store.evacuated, domain)
	}
	m.store.at.Version++
}

func (m *world) copyStore(*rapid.T) { m.copies = append(m.copies, m.store.copied()) }

func (m *world) restore(t *rapid.T) {
	if len(m.copies) == 0 {
		t.Skip("no backup to restore")
	}
	era := m.store.at.Era
	m.store = rapid.SampledFrom(m.copies).Draw(t, "copy").copied()
	m.store.at.Era = era + 1
}

// writeAgain rewrites the rows that the store lost.
func (m *world) writeAgain(*rapid.T) {
	m.store.configuration, m.store.evacuated = m.wanted.configuration, maps.Clone(m.wanted.evacuated)
	m.store.at.Version++
}

// read applies a full read of the table, as the follower does. The first read of a new era may lack rows
// that are written again later, so it must not release any evacuation.
func (m *world) read(t *rapid.T) {
	before := maps.Clone(m.vm.Evacuated)
	afterRestore := !m.known.IsZero() && m.store.at.Era != m.known.Era
	m.reads = append(m.reads, m.store.copied())
	m.vm.Take(m.store.orders(), psorders.Reading{Whole: true, Returning: afterRestore})
	m.known = m.store.at
	if !afterRestore {
		return
	}
	for d := range before {
		if !m.vm.Evacuated[d] {
			t.Fatalf("failure domain %s is no longer evacuated after the first read of a new era", d)
		}
	}
}

// applyFromPeer applies orders that another VM read at any earlier time.
func (m *world) hear(t *rapid.T) {
	if len(m.reads) == 0 {
		t.Skip("no VM has read the store")
	}
	received := rapid.SampledFrom(m.reads).Draw(t, "received")
	before := maps.Clone(m.vm.Evacuated)
	revision := m.vm.At
	m.vm.Take(received.orders(), psorders.Reading{Whole: true})
	if revision.After(received.at) && !maps.Equal(before, m.vm.Evacuated) {
		t.Fatalf("evacuations of revision %v replaced those of revision %v", received.at, revision)
	}
}

// check verifies after each step that the configuration version has not decreased.
func (m *world) check(t *rapid.T) {
	if v := m.vm.Version(); v < m.version {
		t.Fatalf("configuration version decreased from %d to %d", m.version, v)
	}
	m.version = m.vm.Version()
}

// TestOrdersNeverRegressUnderInterleaving interleaves the operator's changes, backups and restores of the
// store, the VM's reads and orders from other VMs at random. It guards against stale orders that replace
// newer ones, and against replicas that don't converge to the operator's latest orders.
func TestNothingGoesBackInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &world{vm: psorders.New(hclog.NewNullLogger())}
		m.wanted.evacuated, m.store.evacuated = map[string]bool{}, map[string]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"order": m.order, "copy": m.copyStore, "restore": m.restore, "writeAgain": m.writeAgain, "read": m.read, "hear": m.hear,
			"": m.check,
		})
		// Finally the lost rows are written again and the table is read twice, as after each restore.
		m.writeAgain(t)
		m.read(t)
		m.read(t)
		if m.vm.Version() != m.wanted.configuration || !maps.Equal(m.vm.Evacuated, m.wanted.evacuated) {
			t.Fatalf("in force: version %d, evacuated %v; ordered: version %d, evacuated %v",
				m.vm.Version(), m.vm.Evacuated, m.wanted.configuration, m.wanted.evacuated)
		}
	})
}

func TestANewEraIsTold(t *testing.T) {
	o := psorders.New(hclog.NewNullLogger())
	first := history{at: psmoment.At(0, 9), configuration: 1, evacuated: map[string]bool{"north-a": true}}
	result := o.Take(first.orders(), psorders.Reading{Whole: true})
	qt.Assert(t, result.Restored, qt.IsFalse)
	qt.Assert(t, result.Released, qt.HasLen, 0)
	restored := history{at: psmoment.At(1, 2), configuration: 1}
	qt.Assert(t, o.Take(restored.orders(), psorders.Reading{Whole: true, Returning: true}).Restored, qt.IsTrue)
	qt.Assert(t, o.Take(restored.orders(), psorders.Reading{Whole: true}), qt.DeepEquals, psorders.Taken{Released: []string{"north-a"}})
}
