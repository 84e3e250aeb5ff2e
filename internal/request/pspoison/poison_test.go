package pspoison_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/request/pspoison"
)

var begun = time.Unix(1000, 0)

func TestThreeCrashesOverAllVMsHoldARequestBack(t *testing.T) {
	var s pspoison.Set
	f := pspoison.FingerprintOf("trays", "POST", "eggs.test/orders/1", []byte("x"))
	qt.Assert(t, s.Crashed(f, begun), qt.Equals, 1)
	s.Learned("vm-2", f, 1, begun)
	qt.Assert(t, s.Held(f, begun), qt.IsFalse)
	s.Learned("vm-2", f, 1, begun)
	qt.Assert(t, s.Held(f, begun), qt.IsFalse)
	s.Learned("vm-3", f, 1, begun)
	qt.Assert(t, s.Held(f, begun), qt.IsTrue)
	qt.Assert(t, s.Held(f, begun.Add(2*time.Minute)), qt.IsFalse)
}

func TestAnAnswerClearsARequest(t *testing.T) {
	var s pspoison.Set
	s.Crashed(1, begun)
	s.Crashed(1, begun)
	s.Answered(1)
	s.Crashed(1, begun)
	qt.Assert(t, s.Held(1, begun), qt.IsFalse)
	qt.Assert(t, s.Own(begun), qt.DeepEquals, map[pspoison.Fingerprint]int{1: 1})
}

func TestFingerprintsTellRequestsApart(t *testing.T) {
	all := map[pspoison.Fingerprint]bool{}
	for _, v := range [][3]string{{"a", "GET", "/1"}, {"aG", "ET", "/1"}, {"a", "GET", "/2"}, {"b", "GET", "/1"}} {
		all[pspoison.FingerprintOf(v[0], v[1], v[2], nil)] = true
	}
	all[pspoison.FingerprintOf("a", "GET", "/1", []byte("x"))] = true
	qt.Assert(t, all, qt.HasLen, 5)
}

func TestTheSetIsBounded(t *testing.T) {
	var s pspoison.Set
	for n := range 1000 {
		s.Crashed(pspoison.Fingerprint(n), begun.Add(time.Duration(n)))
	}
	qt.Assert(t, len(s.Own(begun)) <= 256, qt.IsTrue)
}
