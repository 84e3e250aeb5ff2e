package psblocklist_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/request/psblocklist"
)

var start = time.Unix(1000, 0)

func TestThreeCrashesOverAllVMsBlockARequest(t *testing.T) {
	var s psblocklist.List
	f := psblocklist.FingerprintOf("trays", "POST", "eggs.test/orders/1", []byte("x"))
	qt.Assert(t, s.AddCrash(f, start), qt.Equals, 1)
	s.SetPeerCount("vm-2", f, 1, start)
	qt.Assert(t, s.Blocked(f, start), qt.IsFalse)
	s.SetPeerCount("vm-2", f, 1, start)
	qt.Assert(t, s.Blocked(f, start), qt.IsFalse)
	s.SetPeerCount("vm-3", f, 1, start)
	qt.Assert(t, s.Blocked(f, start), qt.IsTrue)
	qt.Assert(t, s.Blocked(f, start.Add(2*time.Minute)), qt.IsFalse)
}

func TestResponseClearsARequest(t *testing.T) {
	var s psblocklist.List
	s.AddCrash(1, start)
	s.AddCrash(1, start)
	s.Clear(1)
	s.AddCrash(1, start)
	qt.Assert(t, s.Blocked(1, start), qt.IsFalse)
	qt.Assert(t, s.LocalCounts(start), qt.DeepEquals, map[psblocklist.Fingerprint]int{1: 1})
}

func TestFingerprintsDistinguishRequests(t *testing.T) {
	all := map[psblocklist.Fingerprint]bool{}
	for _, v := range [][3]string{{"a", "GET", "/1"}, {"aG", "ET", "/1"}, {"a", "GET", "/2"}, {"b", "GET", "/1"}} {
		all[psblocklist.FingerprintOf(v[0], v[1], v[2], nil)] = true
	}
	all[psblocklist.FingerprintOf("a", "GET", "/1", []byte("x"))] = true
	qt.Assert(t, all, qt.HasLen, 5)
}

func TestBlocklistIsBounded(t *testing.T) {
	var s psblocklist.List
	for n := range 1000 {
		s.AddCrash(psblocklist.Fingerprint(n), start.Add(time.Duration(n)))
	}
	qt.Assert(t, len(s.LocalCounts(start)) <= 256, qt.IsTrue)
}

// TestSuspectedCrashIsNotTold guards against VMs without links to the servers, which would make the others block requests
// that crash no server.
func TestSuspectedCrashIsNotTold(t *testing.T) {
	var l psblocklist.List
	now := time.Unix(1000, 0)
	for range 2 {
		l.AddSuspected(1, now)
	}
	l.AddSuspected(2, now)
	l.AddCrash(2, now)
	qt.Assert(t, l.AddSuspected(1, now), qt.Equals, 3)
	qt.Assert(t, l.Blocked(1, now), qt.IsTrue)
	qt.Assert(t, l.LocalCounts(now), qt.DeepEquals, map[psblocklist.Fingerprint]int{2: 1})
	l.Confirm(1)
	l.Confirm(3)
	l.ForgetSuspected()
	qt.Assert(t, l.Blocked(1, now), qt.IsFalse)
	qt.Assert(t, l.LocalCounts(now), qt.DeepEquals, map[psblocklist.Fingerprint]int{1: 1, 2: 1})
}
