package psrendezvous_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/version/psrendezvous"
)

func owner(key string, members int) int {
	best := 0
	for i := range members {
		if psrendezvous.Score(key, fmt.Sprint(i)) > psrendezvous.Score(key, fmt.Sprint(best)) {
			best = i
		}
	}
	return best
}

func TestAddedMemberTakesOnlyItsOwnKeys(t *testing.T) {
	for i := range 1000 {
		key := fmt.Sprint("key-", i)
		before, after := owner(key, 8), owner(key, 9)
		qt.Assert(t, after == before || after == 8, qt.IsTrue, qt.Commentf("%s moved from %d to %d", key, before, after))
	}
}

func TestScoreSeparatesKeyAndMember(t *testing.T) {
	qt.Assert(t, psrendezvous.Score("ab", "c"), qt.Not(qt.Equals), psrendezvous.Score("a", "bc"))
}
