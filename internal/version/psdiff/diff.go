// Package psdiff decides what an operator should know about the difference between two versions of a configuration: which
// entries are added, removed or changed, and which of the changes move traffic, withdraw keys, lower a rate or shorten a time.
package psdiff

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/pslint"
)

// The kinds of changes. Those that an operator should look at twice are warnings.
const (
	CodeAdded   psconfig.Code = "added"
	CodeRemoved psconfig.Code = "removed"
	CodeChanged psconfig.Code = "changed"

	CodeVersionNotNewer psconfig.Code = "version-not-newer"
	CodeMovesTraffic    psconfig.Code = "moves-traffic"
	CodeWithdrawsKey    psconfig.Code = "withdraws-key"
	CodeMovesKey        psconfig.Code = "moves-key"
	CodeRequiresKey     psconfig.Code = "requires-key"
	CodeOpensRoute      psconfig.Code = "opens-route"
	CodeMayRunAgain     psconfig.Code = "may-run-again"
	CodeLowersRate      psconfig.Code = "lowers-rate"
	CodeLowersLimit     psconfig.Code = "lowers-limit"
	CodeLiftsLimit      psconfig.Code = "lifts-limit"
	CodeShortensTime    psconfig.Code = "shortens-time"
)

// Compare returns what differs between the version in force and the next one, by entry. keysKnown is false if the version in
// force comes from the state of a VM, which has no keys.
func Compare(inForce, next *psconfig.Configuration, keysKnown bool) []pslint.Finding {
	d := &differ{old: inForce, next: next, keysKnown: keysKnown}
	d.routes()
	d.services()
	d.workspaces()
	d.limits()
	if len(d.findings) > 0 && next.Version <= inForce.Version {
		d.add(pslint.Error, CodeVersionNotNewer, pslint.Finding{
			Path: "version", From: strconv.FormatInt(inForce.Version, 10), To: strconv.FormatInt(next.Version, 10),
			Text: fmt.Sprintf("VMs ignore version %d, because version %d is in force", next.Version, inForce.Version),
		})
	}
	return d.findings
}

type differ struct {
	old, next *psconfig.Configuration
	keysKnown bool
	findings  []pslint.Finding
}

func (d *differ) add(s pslint.Severity, code psconfig.Code, f pslint.Finding) {
	f.Severity, f.Code = s, code
	d.findings = append(d.findings, f)
}

// risk is why a change should be looked at twice; the zero value is for changes that need not.
type risk psconfig.Code

// when returns a risk if a condition holds.
func when(condition bool, code psconfig.Code) risk {
	if condition {
		return risk(code)
	}
	return ""
}

// field reports that a field of an entry differs, if it does.
func (d *differ) field(path, entry, name, from, to string, r risk) {
	if from == to {
		return
	}
	f := pslint.Finding{
		Path: path, Entry: entry, From: from, To: to,
		Text: fmt.Sprintf("%s: %s changes from %s to %s", entry, name, cmp.Or(from, "none"), cmp.Or(to, "none")),
	}
	if r != "" {
		d.add(pslint.Warning, psconfig.Code(r), f)
		return
	}
	d.add(pslint.Note, CodeChanged, f)
}

// pairs matches the entries of two lists by their names. Of an entry without a match the index in the other list is -1. Those of
// the next version come first.
func pairs[T any](old, next []T, name func(T) string) (matches [][2]int) {
	indices := make(map[string]int, len(old))
	for i, v := range old {
		indices[name(v)] = i
	}
	matched := make(map[int]bool, len(old))
	for j, v := range next {
		i, found := indices[name(v)]
		if !found || matched[i] {
			i = -1
		}
		matched[i] = true
		matches = append(matches, [2]int{i, j})
	}
	for i := range old {
		if !matched[i] {
			matches = append(matches, [2]int{i, -1})
		}
	}
	return matches
}

func (d *differ) routes() {
	before, after := psconfig.NewIndex(d.old), psconfig.NewIndex(d.next)
	for _, p := range d.renamed(pairs(d.old.Routes, d.next.Routes, func(r psconfig.Route) string { return r.Name })) {
		switch {
		case p[0] < 0:
			r := &d.next.Routes[p[1]]
			f := pslint.Finding{Path: fmt.Sprintf("routes[%d]", p[1]), Entry: "route " + r.Name, Text: fmt.Sprintf("route %q is added", r.Name)}
			if v, found := before.Route(r.Host, r.Prefix); found {
				f.Text += fmt.Sprintf(": it takes requests of route %q", v.Name)
				d.add(pslint.Warning, CodeMovesTraffic, f)
				continue
			}
			d.add(pslint.Note, CodeAdded, f)
		case p[1] < 0:
			r := &d.old.Routes[p[0]]
			f := pslint.Finding{Path: fmt.Sprintf("routes[%d]", p[0]), InForce: true, Entry: "route " + r.Name}
			f.Text = fmt.Sprintf("route %q is removed: its requests get 404", r.Name)
			if v, found := after.Route(r.Host, r.Prefix); found {
				f.Text = fmt.Sprintf("route %q is removed: its requests go to route %q", r.Name, v.Name)
			}
			d.add(pslint.Warning, CodeMovesTraffic, f)
		default:
			d.route(fmt.Sprintf("routes[%d]", p[1]), &d.old.Routes[p[0]], &d.next.Routes[p[1]])
		}
	}
}

// renamed matches routes without a match by their host and prefix.
func (d *differ) renamed(matches [][2]int) [][2]int {
	removed := map[string]int{}
	for n, p := range matches {
		if p[1] < 0 {
			removed[d.old.Routes[p[0]].Host+d.old.Routes[p[0]].Prefix] = n
		}
	}
	for n, p := range matches {
		if p[0] >= 0 || p[1] < 0 {
			continue
		}
		key := d.next.Routes[p[1]].Host + d.next.Routes[p[1]].Prefix
		if m, found := removed[key]; found {
			matches[n][0], matches[m] = matches[m][0], [2]int{-1, -1}
			delete(removed, key)
		}
	}
	return slices.DeleteFunc(matches, func(p [2]int) bool { return p == [2]int{-1, -1} })
}

func (d *differ) route(path string, a, b *psconfig.Route) {
	entry := "route " + b.Name
	d.field(path+".name", entry, "name", a.Name, b.Name, when(a.Affinity || b.Affinity, CodeMovesTraffic))
	d.field(path+".host", entry, "host", a.Host, b.Host, risk(CodeMovesTraffic))
	d.field(path+".prefix", entry, "prefix", a.Prefix, b.Prefix, risk(CodeMovesTraffic))
	d.field(path+".kind", entry, "kind", a.Kind.String(), b.Kind.String(), when(!a.Kind.Repeatable() && b.Kind.Repeatable(), CodeMayRunAgain))
	d.field(path+".timeout", entry, "timeout", duration(a.Timeout), duration(b.Timeout), when(lower(a.Timeout, b.Timeout), CodeShortensTime))
	d.field(path+".targetLatency", entry, "target latency", a.TargetLatency.String(), b.TargetLatency.String(), "")
	d.field(path+".priority", entry, "priority", strconv.Itoa(a.Priority), strconv.Itoa(b.Priority), "")
	d.field(path+".maxAttempts", entry, "number of attempts", strconv.Itoa(a.MaxAttempts), strconv.Itoa(b.MaxAttempts), "")
	public := risk(CodeRequiresKey)
	if b.Public {
		public = risk(CodeOpensRoute)
	}
	d.field(path+".public", entry, "public", strconv.FormatBool(a.Public), strconv.FormatBool(b.Public), public)
	d.field(path+".affinity", entry, "affinity", strconv.FormatBool(a.Affinity), strconv.FormatBool(b.Affinity), risk(CodeMovesTraffic))
	d.field(path+".allowedRegions", entry, "allowed regions", regions(a.AllowedRegions), regions(b.AllowedRegions), risk(CodeMovesTraffic))
	d.backends(path+".backends", entry, fractions(a.Backends), fractions(b.Backends))
}

// backends reports changes of the fraction of a route's requests that a service gets.
func (d *differ) backends(path, entry string, a, b map[string]float64) {
	services := maps.Clone(a)
	maps.Copy(services, b)
	for _, s := range slices.Sorted(maps.Keys(services)) {
		d.field(path, entry, fmt.Sprintf("share of service %q", s), percent(a[s]), percent(b[s]), risk(CodeMovesTraffic))
	}
}

// fractions returns the fraction of the requests that each service gets.
func fractions(backends []psconfig.Backend) map[string]float64 {
	sum := 0.0
	for _, b := range backends {
		sum += b.Weight
	}
	out := make(map[string]float64, len(backends))
	for _, b := range backends {
		if sum > 0 {
			out[b.Service] += b.Weight / sum
		}
	}
	return out
}

func (d *differ) services() {
	for _, p := range pairs(d.old.Services, d.next.Services, func(s psconfig.Service) string { return s.Name }) {
		switch {
		case p[0] < 0:
			name := d.next.Services[p[1]].Name
			d.add(pslint.Note, CodeAdded, pslint.Finding{Path: fmt.Sprintf("services[%d]", p[1]), Entry: "service " + name, Text: fmt.Sprintf("service %q is added", name)})
		case p[1] < 0:
			name := d.old.Services[p[0]].Name
			d.add(pslint.Note, CodeRemoved, pslint.Finding{
				Path: fmt.Sprintf("services[%d]", p[0]), InForce: true, Entry: "service " + name, Text: fmt.Sprintf("service %q is removed", name),
			})
		default:
			d.service(fmt.Sprintf("services[%d]", p[1]), d.old.Services[p[0]], d.next.Services[p[1]])
		}
	}
}

func (d *differ) service(path string, a, b psconfig.Service) {
	entry := "service " + b.Name
	d.field(path+".healthPath", entry, "health path", a.HealthPath, b.HealthPath, "")
	d.field(path+".maxConnections", entry, "number of connections", strconv.Itoa(a.MaxConnections), strconv.Itoa(b.MaxConnections),
		when(b.MaxConnections < a.MaxConnections, CodeLowersLimit))
	d.field(path+".coldStart", entry, "cold start", a.ColdStart.String(), b.ColdStart.String(), "")
	// With a rate of 0, cold servers get no requests at all.
	d.field(path+".coldPerSecond", entry, "rate of a cold server", number(a.ColdPerSecond), number(b.ColdPerSecond),
		when(b.ColdPerSecond < a.ColdPerSecond, CodeLowersRate))
}

func (d *differ) limits() {
	a, b := d.old.Limits.OrDefaults(), d.next.Limits.OrDefaults()
	d.field("limits.maxHeaderBytes", "limits", "header limit", strconv.Itoa(a.MaxHeaderBytes), strconv.Itoa(b.MaxHeaderBytes),
		when(b.MaxHeaderBytes < a.MaxHeaderBytes, CodeLowersLimit))
	d.field("limits.maxBodyBytes", "limits", "body limit", unlimited(max(0, a.MaxBodyBytes)), unlimited(max(0, b.MaxBodyBytes)),
		when(lower(max(0, a.MaxBodyBytes), max(0, b.MaxBodyBytes)), CodeLowersLimit))
	d.field("limits.headerTimeout", "limits", "time for a header", a.HeaderTimeout.String(), b.HeaderTimeout.String(),
		when(b.HeaderTimeout < a.HeaderTimeout, CodeShortensTime))
	d.field("limits.idleTimeout", "limits", "idle time", a.IdleTimeout.String(), b.IdleTimeout.String(),
		when(b.IdleTimeout < a.IdleTimeout, CodeShortensTime))
}

// lower reports whether a limit becomes lower, where 0 stands for no limit.
func lower[T cmp.Ordered](a, b T) bool {
	var none T
	return b != none && (a == none || b < a)
}

// regions returns allowed regions as text, whatever their order.
func regions(names []string) string {
	if len(names) == 0 {
		return "all"
	}
	return strings.Join(slices.Compact(slices.Sorted(slices.Values(names))), ", ")
}

func percent(fraction float64) string { return strconv.FormatFloat(100*fraction, 'g', 4, 64) + "%" }

func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// unlimited returns a limit as text, where 0 stands for no limit.
func unlimited[T int64 | float64](v T) string {
	if v == 0 {
		return "no limit"
	}
	return number(float64(v))
}

// duration returns a timeout as text, where 0 stands for none.
func duration(d time.Duration) string {
	if d == 0 {
		return "none"
	}
	return d.String()
}
