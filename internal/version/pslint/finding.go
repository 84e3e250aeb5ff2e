// Package pslint decides what an operator should know about a configuration before it is sent.
//
// [Check] reports errors, for which VMs would ignore the configuration, and warnings: entries that can never match or take
// effect, and limits that contradict each other. The package is pure and changes nothing about what VMs accept.
package pslint

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"persimmonstep/internal/version/psconfig"
)

// Severity ranks findings.
type Severity string

const (
	// Error findings make VMs ignore the configuration.
	Error Severity = "error"
	// Warning findings are probably not what the operator wants, or should be looked at twice. VMs apply the configuration.
	Warning Severity = "warning"
	// Note findings are for information.
	Note Severity = "note"
)

// Finding is one result.
type Finding struct {
	Severity Severity
	// Code identifies the rule.
	Code psconfig.Code
	// Path locates the finding, such as "routes[3].prefix".
	Path string
	// InForce states that the path is one of the version in force.
	InForce bool
	Text    string
	// Entry is what a change is about, such as "route boards", and From and To the values before and after; empty if
	// there is none.
	Entry, From, To string
}

// Fleet is what is known of an installation. Rules that need what is missing report nothing.
type Fleet struct {
	// Regions are the regions that have a failure domain; empty if unknown.
	Regions []string
	// Servers are the registered backend servers; empty if unknown.
	Servers []Server
	// VMs is the number of VMs; 0 if unknown.
	VMs int
	// Runs are the estimated run times of a request by the name of its route, and RoundTrip is the shortest network round-trip
	// time to a server.
	Runs      map[string]time.Duration
	RoundTrip time.Duration
}

// Server is a registered backend server.
type Server struct {
	Service, Region string
}

// Check returns what is wrong in a configuration, or probably not intended.
func Check(c *psconfig.Configuration, f Fleet) []Finding {
	l := &linter{configuration: c, fleet: f}
	for _, v := range c.Check() {
		l.findings = append(l.findings, Finding{Severity: Error, Code: v.Code, Path: v.Path, Text: v.Text})
	}
	l.effects()
	l.regions()
	l.limits()
	return l.findings
}

type linter struct {
	configuration *psconfig.Configuration
	fleet         Fleet
	findings      []Finding
}

func (l *linter) warn(code psconfig.Code, path, format string, args ...any) {
	l.findings = append(l.findings, Finding{Severity: Warning, Code: code, Path: path, Text: fmt.Sprintf(format, args...)})
}

// KeyedRoutes returns the routes that require an API key if there are workspaces.
func KeyedRoutes(c *psconfig.Configuration) []psconfig.Route {
	return slices.DeleteFunc(slices.Clone(c.Routes), func(r psconfig.Route) bool { return r.Public })
}

// maxNames limits how many names one finding lists.
const maxNames = 4

// list returns names for a text.
func list(names []string) string {
	quoted := make([]string, 0, maxNames)
	for _, n := range names[:min(len(names), maxNames)] {
		quoted = append(quoted, fmt.Sprintf("%q", n))
	}
	text := strings.Join(quoted, ", ")
	if more := len(names) - maxNames; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}
