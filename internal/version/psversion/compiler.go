package psversion

import (
	"maps"
	"slices"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
	"persimmonstep/internal/version/pstoml"
)

// Compiler compiles one version after the other and parses only the documents that changed.
// Its zero value has parsed nothing. It must not be used by two goroutines at a time.
type Compiler struct {
	documents map[psdoc.Name]*psdoc.Document
}

// Compile makes the plan of a content.
func (k *Compiler) Compile(c *Content) (*psplan.Plan, error) {
	var findings pstoml.Findings
	parsed := make(map[psdoc.Name]*psdoc.Document, len(c.Documents))
	for _, n := range slices.Sorted(maps.Keys(c.Documents)) {
		d, faults := k.parse(n, c.Documents[n])
		findings = append(findings, faults...)
		parsed[n] = d
	}
	if len(findings) > 0 {
		return nil, findings
	}
	documents := make([]*psdoc.Document, 0, len(parsed))
	for _, n := range slices.Sorted(maps.Keys(parsed)) {
		documents = append(documents, parsed[n])
	}
	p, faults := psplan.Compile(c.Version, documents)
	if len(faults) > 0 {
		return nil, faults
	}
	for _, d := range parsed {
		d.ForgetPositions()
	}
	k.documents = parsed
	return p, nil
}

// parse returns the document that was parsed before, if its text is the same.
func (k *Compiler) parse(n psdoc.Name, text string) (*psdoc.Document, pstoml.Findings) {
	if d, found := k.documents[n]; found && d.Text() == text {
		return d, nil
	}
	return psdoc.Parse(string(n), []byte(text))
}
