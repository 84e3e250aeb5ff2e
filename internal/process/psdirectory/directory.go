// Package psdirectory tells callers which VMs to use.
//
// Any VM answers for all of them. VMs of the caller's failure domain come first, then those
// of its region, then others; among equally near ones the workspace's own come first, so
// that its requests meet on few VMs and its rate needs few loans. An answer names several
// VMs, so that a caller whose first VM is gone goes on with the next.
package psdirectory

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// TTL is how long a caller may keep an answer.
const TTL = 5 * time.Second

// Answer is what a caller is told.
type Answer struct {
	// Version is the configuration version behind the answer.
	Version uint64 `json:"version"`
	// TTL is how long the answer may be kept.
	TTL psdoc.Duration `json:"ttl"`
	// VMs lists the VMs to use, the best first.
	VMs []Entry `json:"vms"`
}

// Entry is one VM of an answer.
type Entry struct {
	Name          psdoc.Name     `json:"name"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain psdoc.Name     `json:"failureDomain"`
	Region        psdoc.Name     `json:"region"`
	Weight        float64        `json:"weight"`
}

// Plans gives the plan in force.
type Plans interface {
	Plan() *psplan.Plan
}

// Members tells which VMs callers can use.
type Members interface {
	// Usable reports whether the VM is neither leaving nor known to be down.
	Usable(vm psdoc.Name) bool
}

// Locator finds the failure domain nearest to a caller.
type Locator interface {
	Locate(p *psplan.Plan, caller netip.Addr) *psplan.Domain
}

// Directory answers callers.
type Directory struct {
	Plans   Plans
	Members Members
	Locator Locator
	Logger  hclog.Logger
}

// ServeHTTP answers one caller.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	address, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		http.Error(w, "unknown caller address", http.StatusBadRequest)
		return
	}
	workspace := psdoc.Name(r.URL.Query().Get("workspace"))
	p := d.Plans.Plan()
	home := d.Locator.Locate(p, address.Addr().Unmap())
	turn := Turn(address.Addr().Unmap(), Spread(p, workspace, home))
	a := Rank(p, home, workspace, turn, d.Members)
	names := lo.Map(a.VMs, func(e Entry, _ int) psdoc.Name { return e.Name })
	psevent.Directed.Log(d.Logger, address.Addr(), workspace, names, reasonOf(home))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age=5")
	_ = json.NewEncoder(w).Encode(a)
}

func reasonOf(home *psplan.Domain) string {
	if home == nil {
		return "no home"
	}
	return "home " + string(home.Name)
}

func answerOf(p *psplan.Plan, vms []*psplan.VM) Answer {
	entries := lo.Map(vms, func(v *psplan.VM, _ int) Entry {
		return Entry{Name: v.Name, Address: v.Callers, FailureDomain: v.Domain.Name, Region: v.Domain.Region.Name, Weight: v.Weight}
	})
	return Answer{Version: p.Version, TTL: psdoc.Duration{Duration: TTL}, VMs: entries}
}
