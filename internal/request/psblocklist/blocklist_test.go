package psblocklist_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/request/psblocklist"
)

var start = time.Unix(1000, 0)

func TestThreeCrashesOverAllVMsBlockARequest(t *testing.T) {
	var l psblocklist.List
	f := psblocklist.FingerprintOf("trays", "POST", "eggs.test/orders/1", []byte("x"))
	qt.Assert(t, l.AddCrash(f, start), qt.Equals, 1)
	l.SetPeerCount("vm-2", f, 1, start)
	qt.Assert(t, l.Blocked(f, start), qt.IsFalse)
	l.SetPeerCount("vm-2", f, 1, start)
	qt.Assert(t, l.Blocked(f, start), qt.IsFalse)
	l.SetPeerCount("vm-3", f, 1, start)
	qt.Assert(t, l.Blocked(f, start), qt.IsTrue)
	qt.Assert(t, l.Blocked(f, start.Add(2*time.Minute)), qt.IsFalse)
}

func TestResponseClearsARequest(t *testing.T) {
	var l psblocklist.List
	l.AddCrash(1, start)
	l.AddCrash(1, start)
	l.Clear(1)
	l.AddCrash(1, start)
	qt.Assert(t, l.Blocked(1, start), qt.IsFalse)
	qt.Assert(t, l.LocalCounts(start), qt.DeepEquals, map[psblocklist.Fingerprint]int{1: 1})
}

func TestFingerprintsTellRequestsApart(t *testing.T) {
	all := map[psblocklist.Fingerprint]bool{}
	for _, v := range [][3]string{{"a", "GET", "/1"}, {"aG", "ET", "/1"}, {"a", "GET", "/2"}, {"b", "GET", "/1"}} {
		all[psblocklist.FingerprintOf(v[0], v[1], v[2], nil)] = true
	}
	all[psblocklist.FingerprintOf("a", "GET", "/1", []byte("x"))] = true
	qt.Assert(t, all, qt.HasLen, 5)
}

func TestListIsBounded(t *testing.T) {
	var l psblocklist.List
	for n := range 1000 {
		l.AddCrash(psblocklist.Fingerprint(n), start.Add(time.Duration(n)))
	}
	qt.Assert(t, len(l.LocalCounts(start)) <= 256, qt.IsTrue)
}
