package psmeasure

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Table writes results for people.
func Table(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "firm\tscenario\tpolicy\troute\tsent\tserved\t429\t503\tother\tunanswered\tp50 ms\tp99 ms\tp99.9 ms\tpeak use\tuse at 1st 503")
	for _, r := range results {
		for _, v := range r.Routes {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.0f%%\t%s\n", r.Firm, r.Scenario, r.Policy, v.Route,
				v.Sent, v.Served, v.OverRate, v.NoCapacity, v.Other, v.Unanswered, v.P50, v.P99, v.P999, 100*v.PeakUse, useText(v))
		}
	}
	_, _ = fmt.Fprintln(t)
	_, _ = fmt.Fprintln(t, "firm\tscenario\tpolicy\tworst served\tworkspace\tin-rate refused\tentitled\tshifted\tdrain ms\tstop ms\tpeer B/s/VM\treads/s\tcommits/s\tbroken promises")
	for _, r := range results {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.1f%%\t%s\t%d\t%d\t%.1f%%\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%s\n", r.Firm, r.Scenario, r.Policy,
			100*r.WorstServed, r.WorstWorkspace, r.InRateRefused, r.Entitled, 100*r.Shifted, r.DrainMilliseconds, r.StopMilliseconds,
			r.PeerBytesPerSecond, r.ReadsPerSecond, r.CommitsPerSecond, brokenText(r))
	}
	for _, r := range results {
		for _, n := range r.Notes {
			_, _ = fmt.Fprintf(t, "%s %s %s: %s\n", r.Firm, r.Scenario, r.Policy, n)
		}
	}
	return errors.Wrap(t.Flush(), "write the table")
}

func useText(v RouteResult) string {
	if v.NoCapacity == 0 {
		return "none"
	}
	return fmt.Sprintf("%.0f%%", 100*v.UseBeforeRefusal)
}

func brokenText(r *Result) string {
	if r.Broken.Total() == 0 {
		return "0"
	}
	return fmt.Sprintf("%d %+v", r.Broken.Total(), r.Broken)
}

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
	// firstPart is the first quantile that a plot shows, in percent.
	firstPart = 1.0
)

// Plot writes the latency distributions of the results' first routes as SVG.
func Plot(w io.Writer, results []*Result) error {
	p := plot.New()
	p.Title.Text = "Latency of served lookups"
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "milliseconds"
	var lines []any
	for _, r := range results {
		h := r.histograms[r.Routes[0].Route]
		if h == nil || h.TotalCount() == 0 {
			continue
		}
		var points plotter.XYs
		for q := firstPart; q < 100; q++ {
			points = append(points, plotter.XY{X: q, Y: float64(h.ValueAtQuantile(q)) / 1000})
		}
		lines = append(lines, fmt.Sprintf("%s %s %s", r.Firm, r.Scenario, r.Policy), points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "draw the plot")
	}
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	_, err := c.WriteTo(w)
	return errors.Wrap(err, "write the plot")
}
