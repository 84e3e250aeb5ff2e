package psresult

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Table writes results as a plain text table.
func Table(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "firm\tscenario\tpolicy\troute\tsent\tserved\t429\t503\tother\tunanswered\tp50 ms\tp99 ms\tp99.9 ms\tpeak use\tuse at 1st 503")
	for _, r := range results {
		for _, v := range r.Routes {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.0f%%\t%s\n", r.Firm, r.Scenario, r.Policy, v.Route,
				v.Sent, v.Served, v.OverRate, v.NoCapacity, v.Other, v.Unanswered, v.P50, v.P99, v.P999, 100*v.PeakUse, utilizationText(v))
		}
	}
	_, _ = fmt.Fprintln(t)
	_, _ = fmt.Fprintln(t, "firm\tscenario\tpolicy\tworst served\tworkspace\tin-rate refused\tentitled\tshifted\tdrain ms\tstop ms\tpeer B/s/VM\treads/s\twrites/s\ttimer delay ms\tbroken promises")
	for _, r := range results {
		if len(r.Routes) == 0 {
			continue
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.1f%%\t%s\t%d\t%d\t%.1f%%\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%s\n", r.Firm, r.Scenario, r.Policy,
			100*r.WorstServed, r.WorstWorkspace, r.InRateRefused, r.Entitled, 100*r.Shifted, r.DrainMilliseconds, r.StopMilliseconds,
			r.PeerBytesPerSecond, r.ReadsPerSecond, r.WritesPerSecond, r.TimerDelayMilliseconds, violationsText(r))
	}
	writeInTarget(t, results)
	for _, r := range results {
		for _, n := range r.Notes {
			_, _ = fmt.Fprintf(t, "%s %s %s: %s\n", r.Firm, r.Scenario, r.Policy, n)
		}
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	for _, r := range results {
		if r.Losses == nil {
			continue
		}
		if err := r.Losses.Table(w, fmt.Sprintf("%s %s %s", r.Firm, r.Scenario, r.Policy)); err != nil {
			return err
		}
	}
	return nil
}

func utilizationText(v RouteResult) string {
	if v.NoCapacity == 0 {
		return "none"
	}
	return fmt.Sprintf("%.0f%%", 100*v.UseBeforeRefusal)
}

func violationsText(r *Result) string {
	if r.Broken.Total() == 0 {
		return "0"
	}
	return fmt.Sprintf("%d %+v", r.Broken.Total(), r.Broken)
}

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
	// firstPercentile is the lowest percentile that a plot shows.
	firstPercentile = 1.0
)

// reportPage is the template of the HTML report.
var reportPage = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>persimmonstep measure</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}th{background:#eee}.bad{background:#fbb}</style>
</head><body><h1>Measured runs</h1>
<table><tr><th>firm</th><th>scenario</th><th>policy</th><th>route</th><th>sent</th><th>served</th><th>429</th><th>503</th><th>other</th><th>unanswered</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th></tr>
{{range $r := .Results}}{{range .Routes}}<tr><td>{{$r.Firm}}</td><td>{{$r.Scenario}}</td><td>{{$r.Policy}}</td><td>{{.Route}}</td><td>{{.Sent}}</td><td>{{.Served}}</td><td>{{.OverRate}}</td><td>{{.NoCapacity}}</td><td>{{.Other}}</td><td>{{.Unanswered}}</td><td>{{printf "%.1f" .P50}}</td><td>{{printf "%.1f" .P99}}</td><td>{{printf "%.1f" .P999}}</td></tr>
{{end}}{{end}}</table>
<h2>In target</h2>
<table><tr><th>firm</th><th>scenario</th><th>policy</th><th>sent</th><th>in target</th><th>weighted</th></tr>
{{range .Results}}<tr><td>{{.Firm}}</td><td>{{.Scenario}}</td><td>{{.Policy}}</td><td>{{.InTarget.Sent}}</td><td>{{printf "%.0f" .InTarget.InTarget}}</td><td>{{printf "%.0f" .InTarget.Weight}} of {{printf "%.0f" .InTarget.SentWeight}}</td></tr>
{{end}}</table>
<h2>Promises and costs</h2>
<table><tr><th>firm</th><th>scenario</th><th>policy</th><th>worst served</th><th>in-rate refused</th><th>entitled</th><th>peer B/s/VM</th><th>reads/s</th><th>broken promises</th></tr>
{{range .Results}}{{if .Routes}}<tr><td>{{.Firm}}</td><td>{{.Scenario}}</td><td>{{.Policy}}</td><td>{{printf "%.3f" .WorstServed}} {{.WorstWorkspace}}</td><td>{{.InRateRefused}}</td><td>{{.Entitled}}</td><td>{{printf "%.0f" .PeerBytesPerSecond}}</td><td>{{printf "%.1f" .ReadsPerSecond}}</td><td{{if .Broken.Total}} class="bad"{{end}}>{{.Broken.Total}}</td></tr>
{{end}}{{end}}</table>
<h2>Latency</h2>{{.Plot}}</body></html>
`))

// HTML writes results and their plot as one HTML page.
func HTML(w io.Writer, results []*Result) error {
	var plotted strings.Builder
	if err := Plot(&plotted, results); err != nil {
		return err
	}
	// The XML declaration and document type before the element are only valid in a separate SVG file.
	_, svg, _ := strings.Cut(plotted.String(), "<svg")
	return errors.Wrap(reportPage.Execute(w, struct {
		Results []*Result
		Plot    template.HTML
	}{results, template.HTML("<svg" + svg)}), "write report")
}

// Plot writes the latency distributions of the results' first routes as SVG.
func Plot(w io.Writer, results []*Result) error {
	p := plot.New()
	p.Title.Text = "Latency of served lookups"
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "milliseconds"
	var lines []any
	for _, r := range results {
		if len(r.Routes) == 0 {
			continue
		}
		h := r.histograms[r.Routes[0].Route]
		if h == nil || h.TotalCount() == 0 {
			continue
		}
		var points plotter.XYs
		for q := firstPercentile; q < 100; q++ {
			points = append(points, plotter.XY{X: q, Y: float64(h.ValueAtQuantile(q)) / 1000})
		}
		lines = append(lines, fmt.Sprintf("%s %s %s", r.Firm, r.Scenario, r.Policy), points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "draw plot")
	}
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	_, err := c.WriteTo(w)
	return errors.Wrap(err, "write plot")
}
