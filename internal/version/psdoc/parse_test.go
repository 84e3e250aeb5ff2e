package psdoc_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/version/psdoc"
)

func TestParseReportsAllFindingsWithTheirPlace(t *testing.T) {
	c := qt.New(t)
	text := `document = "bad"

[[workspaces]]
name = "Upper"
rate = -1
burst = 5
colour = "red"

[[routes]]
name = "prices"
prefix = "prices/"
kind = "fast"
pool = "prices"
`
	_, findings := psdoc.Parse("bad.toml", []byte(text))
	got := make([]string, len(findings))
	for i, f := range findings {
		got[i] = f.String()
	}
	c.Assert(got, qt.DeepEquals, []string{
		`bad.toml:4:1: "Upper" is not a name: use 1 to 63 lower-case letters, digits and inner hyphens`,
		`bad.toml:5:1: the rate must be above 0 requests per second`,
		`bad.toml:7:1: unknown name "workspaces.colour"`,
		`bad.toml:11:1: the prefix must begin with /`,
		`bad.toml:12:1: "fast" is not a route kind: use lookup, exclusive or upload`,
	})
}

func TestParseLocatesSyntaxErrors(t *testing.T) {
	c := qt.New(t)
	d, findings := psdoc.Parse("bad.toml", []byte("document = \"x\"\n[[routes\n"))
	c.Assert(d, qt.IsNil)
	c.Assert(findings, qt.HasLen, 1)
	c.Assert(findings[0].Line, qt.Equals, 2)
}
