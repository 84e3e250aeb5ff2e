package pscheck

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"persimmonstep/internal/trial/psscenario"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/psdiff"
	"persimmonstep/internal/version/psjson"
	"persimmonstep/internal/version/pslint"
	"persimmonstep/internal/version/pstoml"
	"persimmonstep/platform/psdocument"
	"persimmonstep/platform/pssettings"
)

// checkSettings returns the findings of a settings file, and adds its regions to the known ones.
func checkSettings(data []byte, in *Installation) []Finding {
	s, err := pssettings.Decode(data)
	var findings pssettings.Findings
	var syntax *pssettings.SyntaxError
	switch {
	case errors.As(err, &findings):
		out := make([]Finding, len(findings))
		for i, f := range findings {
			out[i] = Finding{Line: f.Line, Column: f.Column, Severity: pslint.Error, Code: codeSettings, Path: f.Key, Text: f.Text}
		}
		return out
	case errors.As(err, &syntax):
		return []Finding{{Line: syntax.Line, Column: 1, Severity: pslint.Error, Code: codeSyntax, Text: syntax.Cause.Error()}}
	}
	for _, region := range s.Regions {
		in.fleet.Regions = append(in.fleet.Regions, region)
	}
	in.fleet.Regions = append(in.fleet.Regions, s.Region)
	return nil
}

// checkScenario returns the findings of a scenario.
func checkScenario(path string, data []byte) []Finding {
	_, err := psscenario.Parse(path, data)
	var findings pstoml.Findings
	if !errors.As(err, &findings) {
		return nil
	}
	code := codeScenario
	if !pstoml.Valid(data) {
		code = codeSyntax
	}
	out := make([]Finding, len(findings))
	for i, f := range findings {
		out[i] = Finding{Line: f.Line, Column: f.Column, Severity: pslint.Error, Code: code, Text: f.Message}
	}
	return out
}

// checkConfiguration returns the findings of a configuration, and what differs from the version in force.
func checkConfiguration(data []byte, in *Installation) []Finding {
	d, err := psdocument.Read(data)
	var syntax *psjson.SyntaxError
	switch {
	case errors.As(err, &syntax):
		return []Finding{{Line: syntax.Line, Column: syntax.Column, Severity: pslint.Error, Code: codeSyntax, Text: syntax.Cause.Error()}}
	case err != nil:
		return []Finding{{Severity: pslint.Error, Code: codeUnreadable, Text: err.Error()}}
	}
	v := &documentFindings{document: d}
	for _, f := range d.Faults {
		v.add(pslint.Error, f)
	}
	for _, f := range d.Configuration.Unknown {
		f.Code = codeUnknown
		v.add(pslint.Note, f)
	}
	for _, f := range d.Ineffective {
		v.add(pslint.Warning, f)
	}
	for _, f := range pslint.Check(d.Configuration, in.fleet) {
		// What follows from a value that can't be decoded is no finding of its own.
		if len(d.Faults) == 0 || f.Severity == pslint.Error && !v.faulty(d.DocumentPath(f.Path)) {
			v.addLint(f, in)
		}
	}
	if in.inForce != nil && len(d.Faults) == 0 {
		for _, f := range psdiff.Compare(in.inForce, d.Configuration, in.document != nil) {
			v.addLint(f, in)
		}
	}
	return v.findings
}

// documentFindings collects the findings of one configuration.
type documentFindings struct {
	document *psdocument.Document
	findings []Finding
}

// add adds a finding about a path in the document.
func (v *documentFindings) add(s pslint.Severity, f psconfig.Finding) {
	line, column := v.document.Position(f.Path)
	v.findings = append(v.findings, Finding{Line: line, Column: column, Severity: s, Code: f.Code, Path: f.Path, Text: f.Text})
}

// faulty reports whether a value at, in or around a path can't be decoded.
func (v *documentFindings) faulty(path string) bool {
	return slices.ContainsFunc(v.document.Faults, func(f psconfig.Finding) bool {
		return strings.HasPrefix(path, f.Path) || strings.HasPrefix(f.Path, path)
	})
}

// addLint adds a finding about a path of the configuration. An entry of a version in force that isn't read from a file is
// located at its list in the document.
func (v *documentFindings) addLint(f pslint.Finding, in *Installation) {
	out := Finding{Severity: f.Severity, Code: f.Code, Text: f.Text, Entry: f.Entry, From: f.From, To: f.To}
	document := v.document
	switch {
	case f.InForce && in.document != nil:
		document, out.File = in.document, in.file
	case f.InForce:
		f.Path, _, _ = strings.Cut(f.Path, "[")
	}
	out.Path = document.DocumentPath(f.Path)
	out.Line, out.Column = document.Position(out.Path)
	v.findings = append(v.findings, out)
}
