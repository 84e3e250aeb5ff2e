package psfence_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psdev"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psfence"
	"persimmonstep/internal/process/psstandin"
	"persimmonstep/internal/process/psvm"
)

// journal keeps log lines.
type journal struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (j *journal) Write(p []byte) (int, error) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.text.Write(p)
}

// count counts the lines of an event of a VM that contain a text.
func (j *journal) count(vm string, e psevent.Event, containing string) int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	n := 0
	for line := range strings.Lines(j.text.String()) {
		if strings.Contains(line, vm+":") && strings.Contains(line, fmt.Sprintf("event=%d", e.Number)) && strings.Contains(line, containing) {
			n++
		}
	}
	return n
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s", what))
	}
}

func TestCutOffVMAndItsGuardian(t *testing.T) {
	j := &journal{}
	logger := hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: io.Writer(j)})
	s, stop, err := psdev.New(context.Background(), psdev.Example(), logger)
	qt.Assert(t, err, qt.IsNil)
	defer stop()
	const vm, guardian = "vm-north-a", "vm-north-b"
	await(t, "the VM holds its fence", func() bool { return j.count(vm, psevent.FenceHeld, "") > 0 })
	s.Peers.Cut(guardian)
	await(t, "the guardian adopts", func() bool { return j.count(guardian, psevent.ShareAdopted, vm) > 0 })
	qt.Assert(t, j.count(vm, psevent.FenceLost, ""), qt.Equals, 1, qt.Commentf("the VM stops before its guardian begins"))
	held := j.count(vm, psevent.FenceHeld, "")
	s.Peers.Mend(guardian)
	await(t, "the guardian gives back", func() bool { return j.count(guardian, psevent.ShareReturned, vm) > 0 })
	await(t, "the VM holds its fence again", func() bool { return j.count(vm, psevent.FenceHeld, "") > held })
}

// TestFenceOutlivesTheTable switches the table off for longer than any fence lasts: promises
// alone keep every VM's whole share, and nobody adopts.
func TestFenceOutlivesTheTable(t *testing.T) {
	t.Parallel()
	j := &journal{}
	logger := hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: io.Writer(j)})
	s, stop, err := psdev.New(context.Background(), psdev.Example(), logger)
	qt.Assert(t, err, qt.IsNil)
	defer stop()
	s.Platform.Faults.Set(psstandin.Fault{Path: "/", Kind: psstandin.FaultRefuse})
	time.Sleep(2 * (psfence.Term + psfence.Margin))
	// A VM that lost its fence to the outage could not get it back without the table.
	await(t, "every VM holds its whole share", func() bool {
		return lo.EveryBy(s.VMs, func(v *psvm.VM) bool { return v.Whole() })
	})
	for _, v := range psdev.Example().VMs {
		qt.Check(t, j.count(string(v.Name), psevent.ShareAdopted, ""), qt.Equals, 0)
	}
}
