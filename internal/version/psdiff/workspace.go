package psdiff

import (
	"fmt"
	"slices"
	"strconv"

	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/pslint"
)

func (d *differ) workspaces() {
	keyed := len(pslint.KeyedRoutes(d.next)) > 0
	if before, after := len(d.old.Workspaces) > 0, len(d.next.Workspaces) > 0; keyed && before != after {
		f := pslint.Finding{Path: "workspaces", Text: "the first workspace is added: routes that aren't public begin to require a key"}
		code := CodeRequiresKey
		if before {
			f.Text, code = "all workspaces are removed: routes that aren't public no longer require a key", CodeOpensRoute
		}
		d.add(pslint.Warning, code, f)
	}
	owners := map[psconfig.Digest]string{}
	for _, w := range d.next.Workspaces {
		for _, k := range w.Keys {
			owners[k] = w.Name
		}
	}
	for _, p := range pairs(d.old.Workspaces, d.next.Workspaces, func(w psconfig.Workspace) string { return w.Name }) {
		switch {
		case p[0] < 0:
			name := d.next.Workspaces[p[1]].Name
			d.add(pslint.Note, CodeAdded, pslint.Finding{Path: fmt.Sprintf("workspaces[%d]", p[1]), Entry: "workspace " + name, Text: fmt.Sprintf("workspace %q is added", name)})
		case p[1] < 0:
			d.removedWorkspace(fmt.Sprintf("workspaces[%d]", p[0]), d.old.Workspaces[p[0]], owners)
		default:
			d.workspace(fmt.Sprintf("workspaces[%d]", p[1]), d.old.Workspaces[p[0]], d.next.Workspaces[p[1]], owners)
		}
	}
}

func (d *differ) removedWorkspace(path string, w psconfig.Workspace, owners map[psconfig.Digest]string) {
	f := pslint.Finding{Path: path, InForce: true, Entry: "workspace " + w.Name, Text: fmt.Sprintf("workspace %q is removed", w.Name)}
	if d.keysKnown && len(w.Keys) == 0 {
		d.add(pslint.Note, CodeRemoved, f)
		return
	}
	withdrawn, _ := d.lostKeys(w, owners)
	switch {
	case !d.keysKnown:
		f.Text += " with its keys"
	case withdrawn > 0:
		f.Text += fmt.Sprintf(": keys that are withdrawn: %d of %d", withdrawn, len(w.Keys))
	default:
		f.Text += ": its keys now belong to other workspaces"
	}
	code := CodeWithdrawsKey
	if d.keysKnown && withdrawn == 0 {
		code = CodeMovesKey
	}
	d.add(pslint.Warning, code, f)
}

// lostKeys returns how many keys of a workspace nobody has any more, and how many another workspace has.
func (d *differ) lostKeys(w psconfig.Workspace, owners map[psconfig.Digest]string) (withdrawn, moved int) {
	for _, k := range w.Keys {
		switch owner, found := owners[k]; {
		case !found:
			withdrawn++
		case owner != w.Name:
			moved++
		}
	}
	return withdrawn, moved
}

func (d *differ) workspace(path string, a, b psconfig.Workspace, owners map[psconfig.Digest]string) {
	entry := "workspace " + b.Name
	rate := when(lower(a.Rate, b.Rate), CodeLowersRate)
	if a.Rate > 0 && b.Rate == 0 {
		rate = risk(CodeLiftsLimit)
	}
	d.field(path+".rate", entry, "rate", unlimited(a.Rate), unlimited(b.Rate), rate)
	d.field(path+".burst", entry, "burst", number(a.Burst), number(b.Burst), when(b.Rate > 0 && b.Burst < a.Burst, CodeLowersRate))
	d.field(path+".priority", entry, "priority", priority(a.Priority), priority(b.Priority), "")
	d.field(path+".allowedRegions", entry, "allowed regions", regions(a.AllowedRegions), regions(b.AllowedRegions), risk(CodeMovesTraffic))
	if d.keysKnown {
		d.keys(path+".keys", entry, a, b, owners)
	}
}

// keys reports added and lost keys by their number, because a key must not be printed.
func (d *differ) keys(path, entry string, a, b psconfig.Workspace, owners map[psconfig.Digest]string) {
	withdrawn, moved := d.lostKeys(a, owners)
	count := func(code psconfig.Code, n int, what string) {
		if n == 0 {
			return
		}
		severity := pslint.Warning
		if code == CodeChanged {
			severity = pslint.Note
		}
		d.add(severity, code, pslint.Finding{Path: path, Entry: entry, Text: fmt.Sprintf("%s: %s: %d", entry, what, n)})
	}
	count(CodeWithdrawsKey, withdrawn, "keys that are withdrawn")
	count(CodeMovesKey, moved, "keys that now belong to another workspace")
	added := slices.DeleteFunc(slices.Clone(b.Keys), func(k psconfig.Digest) bool { return slices.Contains(a.Keys, k) })
	count(CodeChanged, len(added), "keys that are added")
}

// priority returns a workspace's priority as text.
func priority(p *int) string {
	if p == nil {
		return "that of the route"
	}
	return strconv.Itoa(*p)
}
