package psloss

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Table writes the summary as plain text tables. The title names the run.
func (s *Summary) Table(w io.Writer, title string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	var priorities []int
	total, weight := 0, 0.0
	for _, f := range s.Fates {
		total += f.Count
		weight += f.Weight
		for p := range f.ByPriority {
			if !slices.Contains(priorities, p) {
				priorities = append(priorities, p)
			}
		}
	}
	slices.Sort(priorities)
	_, _ = fmt.Fprintf(t, "\n%s\trequests\tshare\tweight\tshare", title)
	for _, p := range priorities {
		_, _ = fmt.Fprintf(t, "\tpriority %d", p)
	}
	_, _ = fmt.Fprintln(t, "\tidle slots\tholders\tidle holder\tdecided\twait ms\tmax wait ms\toverload\texpected load\tload")
	rest := s.Fates[len(fateOrder):]
	slices.SortFunc(rest, func(a, b Fate) int { return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Name, b.Name)) })
	for _, f := range s.Fates {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.2f%%\t%.1f\t%.2f%%", f.Name, f.Count, 100*float64(f.Count)/float64(max(1, total)), f.Weight, 100*f.Weight/max(1, weight))
		for _, p := range priorities {
			_, _ = fmt.Fprintf(t, "\t%d", f.ByPriority[p])
		}
		_, _ = fmt.Fprintf(t, "\t%.0f%%\t%.1f\t%d\t%d\t%.0f\t%.0f\t%.2f\t%.2f\t%.2f\n", 100*f.Idle, f.Holders, f.IdleHolder, f.Decided, f.Wait, f.MaxWait, f.Overload, f.ExpectedLoad, f.Load)
	}
	_, _ = fmt.Fprintln(t, "\npart of the latency of late requests\tlargest\tof them pipelined\twould be enough\tonly this one\tmean ms\tin target ms")
	for _, p := range s.Parts {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\n", p.Name, p.Largest, p.LargestPipelined, p.Enough, p.Needed, p.LateMean, p.InTimeMean)
	}
	_, _ = fmt.Fprintln(t, "\nslot time of service\tin target\tlate\tunused\tuncached\tslow machine\tidle")
	for _, u := range s.Slots {
		_, _ = fmt.Fprintf(t, "%s\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\n", u.Service, 100*u.InTarget, 100*u.Late, 100*u.Unused, 100*u.Uncached, 100*u.SlowMachine, 100*u.Idle)
	}
	_, _ = fmt.Fprintln(t, "\nuncached runs of route\truns\tfirst\tevicted\tmoved")
	for _, u := range s.Caches {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\n", u.Route, u.Runs, u.First, u.Evicted, u.Moved)
	}
	if s.Unknown > 0 {
		_, _ = fmt.Fprintf(t, "%d served requests have no complete record\n", s.Unknown)
	}
	return errors.Wrap(t.Flush(), "write losses")
}
