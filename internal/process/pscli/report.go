package pscli

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
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

// fileFinding is a finding with its position.
type fileFinding struct {
	File string `json:"file"`
	// Line and Column count from 1; 0 stands for the whole file.
	Line     int             `json:"line,omitempty"`
	Column   int             `json:"column,omitempty"`
	Severity pslint.Severity `json:"severity"`
	Code     psconfig.Code   `json:"code"`
	// Path is that of the value in the file.
	Path string `json:"path,omitempty"`
	Text string `json:"text"`
	// Entry is what a change is about, and From and To are the values before and after.
	Entry string `json:"entry,omitempty"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

// String returns the finding as a line for people.
func (f fileFinding) String() string {
	text := f.File
	if f.Line > 0 {
		text = fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	}
	text += ": " + string(f.Severity) + ": "
	if f.Path != "" {
		text += f.Path + ": "
	}
	return fmt.Sprintf("%s%s (%s)", text, f.Text, f.Code)
}

// report collects the findings of all files.
type report struct {
	findings []fileFinding
	// unusable is set if a file can't be read as what it should be.
	unusable bool
}

// file reads and checks a file, and sorts its findings by their position.
func (r *report) file(path string, check func(data []byte) []fileFinding) {
	data, err := os.ReadFile(path)
	if err != nil {
		r.unusable = true
		r.findings = append(r.findings, fileFinding{File: path, Severity: pslint.Error, Code: codeUnreadable, Text: err.Error()})
		return
	}
	findings := check(data)
	for i := range findings {
		findings[i].File = cmp.Or(findings[i].File, path)
		r.unusable = r.unusable || findings[i].Code == codeSyntax || findings[i].Code == codeUnreadable
	}
	slices.SortStableFunc(findings, func(a, b fileFinding) int {
		// Findings about the version in force come last.
		return cmp.Or(cmp.Compare(foreign(a, path), foreign(b, path)), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	r.findings = append(r.findings, findings...)
}

func foreign(f fileFinding, path string) int {
	if f.File == path {
		return 0
	}
	return 1
}

// print prints the findings and returns the error with the exit code.
func (r *report) print(w io.Writer, lines bool) error {
	for _, f := range r.findings {
		text := f.String()
		if lines {
			data, err := json.Marshal(f)
			if err != nil {
				return errors.Wrap(err, "encode finding")
			}
			text = string(data)
		}
		if _, err := fmt.Fprintln(w, strings.ReplaceAll(text, "\n", " ")); err != nil {
			return errors.Wrap(err, "print finding")
		}
	}
	switch {
	case r.unusable:
		return &exitError{code: ExitFailed}
	case slices.ContainsFunc(r.findings, func(f fileFinding) bool { return f.Severity != pslint.Note }):
		return &exitError{code: ExitFindings}
	}
	return nil
}

// checkSettings returns the findings of a settings file, and adds its regions to the known ones.
func checkSettings(data []byte, in *installation) []fileFinding {
	s, err := pssettings.Decode(data)
	var findings pssettings.Findings
	var syntax *pssettings.SyntaxError
	switch {
	case errors.As(err, &findings):
		out := make([]fileFinding, len(findings))
		for i, f := range findings {
			out[i] = fileFinding{Line: f.Line, Column: f.Column, Severity: pslint.Error, Code: codeSettings, Path: f.Key, Text: f.Text}
		}
		return out
	case errors.As(err, &syntax):
		return []fileFinding{{Line: syntax.Line, Column: 1, Severity: pslint.Error, Code: codeSyntax, Text: syntax.Cause.Error()}}
	}
	for _, region := range s.Regions {
		in.fleet.Regions = append(in.fleet.Regions, region)
	}
	in.fleet.Regions = append(in.fleet.Regions, s.Region)
	return nil
}

// checkScenario returns the findings of a scenario.
func checkScenario(path string, data []byte) []fileFinding {
	_, err := psscenario.Parse(path, data)
	var findings pstoml.Findings
	if !errors.As(err, &findings) {
		return nil
	}
	code := codeScenario
	if !pstoml.Valid(data) {
		code = codeSyntax
	}
	out := make([]fileFinding, len(findings))
	for i, f := range findings {
		out[i] = fileFinding{Line: f.Line, Column: f.Column, Severity: pslint.Error, Code: code, Text: f.Message}
	}
	return out
}

// checkConfiguration returns the findings of a configuration, and what differs from the version in force.
func checkConfiguration(data []byte, in *installation) []fileFinding {
	d, err := psdocument.Read(data)
	var syntax *psjson.SyntaxError
	switch {
	case errors.As(err, &syntax):
		return []fileFinding{{Line: syntax.Line, Column: syntax.Column, Severity: pslint.Error, Code: codeSyntax, Text: syntax.Cause.Error()}}
	case err != nil:
		return []fileFinding{{Severity: pslint.Error, Code: codeUnreadable, Text: err.Error()}}
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
	findings []fileFinding
}

// add adds a finding about a path in the document.
func (v *documentFindings) add(s pslint.Severity, f psconfig.Finding) {
	line, column := v.document.Position(f.Path)
	v.findings = append(v.findings, fileFinding{Line: line, Column: column, Severity: s, Code: f.Code, Path: f.Path, Text: f.Text})
}

// faulty reports whether a value at, in or around a path can't be decoded.
func (v *documentFindings) faulty(path string) bool {
	return slices.ContainsFunc(v.document.Faults, func(f psconfig.Finding) bool {
		return strings.HasPrefix(path, f.Path) || strings.HasPrefix(f.Path, path)
	})
}

// addLint adds a finding about a path of the configuration. An entry of a version in force that isn't read from a file is
// located at its list in the document.
func (v *documentFindings) addLint(f pslint.Finding, in *installation) {
	out := fileFinding{Severity: f.Severity, Code: f.Code, Text: f.Text, Entry: f.Entry, From: f.From, To: f.To}
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
