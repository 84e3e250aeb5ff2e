package psversion_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/process/psstandin"
	"persimmonstep/internal/version/psversion"
)

func startStore(t *testing.T) (*psstandin.Server, *psversion.Store) {
	t.Helper()
	s, clean, err := psstandin.NewServer(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(clean)
	p, clean := psplatform.NewClient(s.Address)
	t.Cleanup(clean)
	return s, &psversion.Store{Platform: p, Now: time.Now}
}

func change(operation string, base uint64) psversion.Change {
	text := fmt.Sprintf("document = \"regions\"\n[[regions]]\nname = %q\n", operation)
	return psversion.Change{OperationID: operation, Author: "ops", Base: base, Put: map[string]string{"regions.toml": text}}
}

// TestApplyUnderFaults lets each pair of faults meet an apply's commit, its settling read or
// both, and the operator repeat the apply with the same operation id.
func TestApplyUnderFaults(t *testing.T) {
	kinds := []psstandin.FaultKind{"", psstandin.FaultRefuse, psstandin.FaultLoseCall, psstandin.FaultLoseAnswer}
	s, store := startStore(t)
	version := uint64(0)
	for _, first := range kinds {
		for _, second := range kinds {
			for _, path := range []string{psplatform.PathCommit, psplatform.PathRead, psplatform.PathObjects} {
				c := qt.New(t)
				name := fmt.Sprint(version)
				comment := qt.Commentf("%q then %q at %s", first, second, path)
				var faults []psstandin.Fault
				if first != "" {
					faults = append(faults, psstandin.Fault{Path: psplatform.PathCommit, Kind: first, Count: 1})
				}
				if second != "" {
					faults = append(faults, psstandin.Fault{Path: path, Kind: second, Count: 1})
				}
				s.Faults.Set(faults...)
				before := version
				h, err := store.Apply(t.Context(), change("op-"+name, 0))
				s.Faults.Set()
				latest, lerr := store.Latest(t.Context())
				c.Assert(lerr, qt.IsNil)
				switch {
				case err == nil:
					c.Assert(h.Version, qt.Equals, before+1, comment)
					c.Assert(latest.OperationID, qt.Equals, "op-"+name, comment)
				case !psplatform.IsUnknown(err):
					c.Assert(latest.Version, qt.Equals, before, comment)
				}
				// The repeat brings exactly one version in any case.
				h, err = store.Apply(t.Context(), change("op-"+name, 0))
				c.Assert(err, qt.IsNil, comment)
				c.Assert(h.Version, qt.Equals, before+1, comment)
				version = h.Version
			}
		}
	}
}

func TestRepeatedOperationThatIsNotTheNewest(t *testing.T) {
	c := qt.New(t)
	_, store := startStore(t)
	first, err := store.Apply(t.Context(), change("op-1", 0))
	c.Assert(err, qt.IsNil)
	_, err = store.Apply(t.Context(), change("op-2", 0))
	c.Assert(err, qt.IsNil)
	again, err := store.Apply(t.Context(), change("op-1", 0))
	c.Assert(err, qt.IsNil)
	c.Assert(again.Version, qt.Equals, first.Version)
	latest, err := store.Latest(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(latest.OperationID, qt.Equals, "op-2")
}

func TestRacingOperators(t *testing.T) {
	c := qt.New(t)
	_, store := startStore(t)
	_, err := store.Apply(t.Context(), change("op-0", 0))
	c.Assert(err, qt.IsNil)
	const operators = 8
	outcomes := make([]error, operators)
	var racing sync.WaitGroup
	for i := range operators {
		racing.Go(func() { _, outcomes[i] = store.Apply(t.Context(), change(fmt.Sprintf("race-%d", i), 1)) })
	}
	racing.Wait()
	latest, err := store.Latest(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(latest.Version, qt.Equals, uint64(2))
	winners := 0
	for i, err := range outcomes {
		var conflict *psversion.ConflictError
		if err == nil {
			winners++
			c.Assert(latest.OperationID, qt.Equals, fmt.Sprintf("race-%d", i))
			continue
		}
		c.Assert(errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(conflict.Winner.OperationID, qt.Equals, latest.OperationID)
	}
	c.Assert(winners, qt.Equals, 1)
}
