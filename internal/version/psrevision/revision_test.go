package psrevision_test

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"persimmonstep/internal/version/psrevision"
)

func Example() {
	before := psrevision.New(3, 900)
	restored := psrevision.New(4, 870)
	fmt.Println(restored.After(before), psrevision.Later(before, restored))
	// Output: true {4 870}
}

func TestRevisionsAreOrdered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) psrevision.Revision {
			return psrevision.New(rapid.Int64Range(0, 3).Draw(t, name+" era"), rapid.Int64Range(0, 5).Draw(t, name+" version"))
		}
		a, b := draw("a"), draw("b")
		if a.After(b) && b.After(a) || a != b && !a.After(b) && !b.After(a) {
			t.Fatalf("%v and %v are not ordered", a, b)
		}
		if l := psrevision.Later(a, b); a.After(l) || b.After(l) {
			t.Fatalf("Later returned %v for %v and %v", l, a, b)
		}
	})
}

func TestRestoredSinceDetectsRestore(t *testing.T) {
	before := psrevision.New(1, 9)
	qt.Assert(t, psrevision.New(2, 3).RestoredSince(before), qt.IsTrue)
	qt.Assert(t, psrevision.New(1, 12).RestoredSince(before), qt.IsFalse)
	qt.Assert(t, psrevision.New(0, 12).RestoredSince(before), qt.IsFalse)
	qt.Assert(t, psrevision.New(2, 3).RestoredSince(psrevision.Revision{}), qt.IsFalse)
}

func TestRevisionEncodesAsJSON(t *testing.T) {
	data, err := json.Marshal(psrevision.New(2, 7))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(data), qt.Equals, `{"era":2,"version":7}`)
}
