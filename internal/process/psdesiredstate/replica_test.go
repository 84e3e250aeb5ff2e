package psdesiredstate_test

import (
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"persimmonstep/internal/process/psdesiredstate"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/psrevision"
	"persimmonstep/platform"
)

// storeState is the state of a store that holds the operator's rows. The store can be restored from backups;
// rows that a restore lost are written again later.
type storeState struct {
	revision      psrevision.Revision
	configuration int64
	evacuated     map[string]bool
}

func (s storeState) clone() storeState {
	s.evacuated = maps.Clone(s.evacuated)
	return s
}

func (s storeState) desiredState() platform.DesiredState {
	state := platform.DesiredState{Revision: s.revision, LastChange: s.revision, Evacuated: slices.Sorted(maps.Keys(s.evacuated))}
	if s.configuration > 0 {
		state.Configuration = &psconfig.Configuration{Version: s.configuration}
	}
	return state
}

// model consists of the operator, the store with its backups and past reads, and one VM.
type model struct {
	// desired is the state that the operator wrote last, store what the store holds of it.
	desired, store storeState
	backups, reads []storeState
	vm             *psdesiredstate.Replica
	// lastRead is the revision of the VM's last full read. restored is set after a read of a new era.
	lastRead       psrevision.Revision
	restored       bool
	highestVersion int64
}

// change changes one element of the desired state and writes it to the store.
func (m *model) change(t *rapid.T) {
	domain := rapid.SampledFrom([]string{"north-a", "south-a"}).Draw(t, "domain")
	switch rapid.IntRange(0, 2).Draw(t, "change") {
	case 0:
		m.desired.configuration++
		m.store.configuration = m.desired.configuration
	case 1:
		m.desired.evacuated[domain] = true
		m.store.evacuated[domain] = true
	default:
		delete(m.desired.evacuated, domain)
		delete(m.store.evacuated, domain)
	}
	m.store.revision.Version++
}

func (m *model) backUp(*rapid.T) { m.backups = append(m.backups, m.store.clone()) }

func (m *model) restore(t *rapid.T) {
	if len(m.backups) == 0 {
		t.Skip("no backup to restore")
	}
	era := m.store.revision.Era
	m.store = rapid.SampledFrom(m.backups).Draw(t, "backup").clone()
	m.store.revision.Era = era + 1
}

// writeAgain rewrites the rows that the store lost.
func (m *model) writeAgain(*rapid.T) {
	m.store.configuration, m.store.evacuated = m.desired.configuration, maps.Clone(m.desired.evacuated)
	m.store.revision.Version++
}

// read applies a full read of the table, as the watcher does. The first read of a new era may lack rows
// that are written again later, so it must not release any evacuation.
func (m *model) read(t *rapid.T) {
	before := maps.Clone(m.vm.Evacuated)
	afterRestore := !m.lastRead.IsZero() && m.store.revision.Era != m.lastRead.Era
	m.reads = append(m.reads, m.store.clone())
	m.vm.Apply(m.store.desiredState(), psdesiredstate.ReadInfo{Full: true, AfterRestore: afterRestore})
	m.lastRead = m.store.revision
	if !afterRestore {
		return
	}
	for d := range before {
		if !m.vm.Evacuated[d] {
			t.Fatalf("failure domain %s is no longer evacuated after the first read of a new era", d)
		}
	}
}

// applyFromPeer applies the desired state that another VM read at any earlier time.
func (m *model) applyFromPeer(t *rapid.T) {
	if len(m.reads) == 0 {
		t.Skip("no VM has read the store")
	}
	received := rapid.SampledFrom(m.reads).Draw(t, "received")
	before := maps.Clone(m.vm.Evacuated)
	revision := m.vm.Revision
	m.vm.Apply(received.desiredState(), psdesiredstate.ReadInfo{Full: true})
	if revision.After(received.revision) && !maps.Equal(before, m.vm.Evacuated) {
		t.Fatalf("evacuations of revision %v replaced those of revision %v", received.revision, revision)
	}
}

// check verifies after each step that the configuration version has not decreased.
func (m *model) check(t *rapid.T) {
	if v := m.vm.Version(); v < m.highestVersion {
		t.Fatalf("configuration version decreased from %d to %d", m.highestVersion, v)
	}
	m.highestVersion = m.vm.Version()
}

// TestDesiredStateNeverRegressesUnderInterleaving interleaves the operator's changes, backups and restores of
// the store, the VM's reads and states from other VMs at random. It guards against a stale state that replaces
// a newer one, and against replicas that don't converge to the operator's latest changes.
func TestDesiredStateNeverRegressesUnderInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{vm: psdesiredstate.New(hclog.NewNullLogger())}
		m.desired.evacuated, m.store.evacuated = map[string]bool{}, map[string]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"operatorChange": m.change, "backUp": m.backUp, "restore": m.restore, "writeAgain": m.writeAgain, "read": m.read, "fromPeer": m.applyFromPeer,
			"": m.check,
		})
		// Finally the lost rows are written again and the table is read twice, as after each restore.
		m.writeAgain(t)
		m.read(t)
		m.read(t)
		if m.vm.Version() != m.desired.configuration || !maps.Equal(m.vm.Evacuated, m.desired.evacuated) {
			t.Fatalf("in force: version %d, evacuated %v; desired: version %d, evacuated %v",
				m.vm.Version(), m.vm.Evacuated, m.desired.configuration, m.desired.evacuated)
		}
	})
}

func TestApplyReportsRestoredStore(t *testing.T) {
	r := psdesiredstate.New(hclog.NewNullLogger())
	first := storeState{revision: psrevision.New(0, 9), configuration: 1, evacuated: map[string]bool{"north-a": true}}
	result := r.Apply(first.desiredState(), psdesiredstate.ReadInfo{Full: true})
	qt.Assert(t, result.Restored, qt.IsFalse)
	qt.Assert(t, result.Released, qt.HasLen, 0)
	restored := storeState{revision: psrevision.New(1, 2), configuration: 1}
	qt.Assert(t, r.Apply(restored.desiredState(), psdesiredstate.ReadInfo{Full: true, AfterRestore: true}).Restored, qt.IsTrue)
	qt.Assert(t, r.Apply(restored.desiredState(), psdesiredstate.ReadInfo{Full: true}), qt.DeepEquals, psdesiredstate.Result{Released: []string{"north-a"}})
}
