package psadmin

import (
	"context"
	"net/netip"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// StatusResponse says what runs where.
type StatusResponse struct {
	// VM is the answering VM.
	VM psdoc.Name `json:"vm"`
	// Version is the configuration version that it has in force.
	Version uint64 `json:"version"`
	// Confirmed and Missing list the VMs that answered that they have the version, and the others.
	Confirmed []psdoc.Name `json:"confirmed"`
	Missing   []psdoc.Name `json:"missing"`
	// VMs lists the entry VMs of that version.
	VMs []VMStatus `json:"vms"`
	// Leaving lists the backend servers that the configuration drains.
	Leaving []psdoc.Name `json:"leaving"`
}

// VMStatus describes one entry VM.
type VMStatus struct {
	Name          psdoc.Name     `json:"name"`
	Region        psdoc.Name     `json:"region"`
	FailureDomain psdoc.Name     `json:"failureDomain"`
	Operator      netip.AddrPort `json:"operator"`
	// Reachable says that the VM answered.
	Reachable bool `json:"reachable"`
	// Version is what the VM has in force; 0 where it did not answer.
	Version uint64 `json:"version"`
}

func (a *API) registerStatus(h huma.API) {
	registerList(h, "status", "/v1/status", "Show what runs where", a.status)
}

func (a *API) status(ctx context.Context) (StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	p := a.Plans.Plan()
	versions := a.Fleet.Versions(ctx)
	out := StatusResponse{
		VM: a.Self, Version: p.Version, Confirmed: []psdoc.Name{}, Missing: []psdoc.Name{},
		Leaving: lo.FilterMap(p.Servers, func(s *psplan.Server, _ int) (psdoc.Name, bool) { return s.Name, s.Leaving }),
	}
	for _, v := range p.VMs {
		version, reachable := versions[v.Name]
		out.VMs = append(out.VMs, VMStatus{
			Name: v.Name, Region: v.Domain.Region.Name, FailureDomain: v.Domain.Name, Operator: v.Operator,
			Reachable: reachable, Version: version,
		})
		if reachable && version >= p.Version {
			out.Confirmed = append(out.Confirmed, v.Name)
		} else {
			out.Missing = append(out.Missing, v.Name)
		}
	}
	return out, nil
}
