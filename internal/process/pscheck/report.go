// Package pscheck checks the files that operators write before VMs read them: settings, configurations and scenarios.
//
// It adds the position in the file to what the packages that decode and judge these files find, and prints the findings of each
// file by position, as text or as JSON. It has no rule of its own except for files that can't be read.
package pscheck

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/pslint"
)

// The rules for whole files.
const (
	codeUnreadable psconfig.Code = "unreadable"
	codeSyntax     psconfig.Code = "syntax"
	codeSettings   psconfig.Code = "settings"
	codeScenario   psconfig.Code = "scenario"
	codeUnknown    psconfig.Code = "unknown"
)

// Finding is a finding with its position.
type Finding struct {
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
func (f Finding) String() string {
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

// Report collects the findings of all files.
type Report struct {
	findings []Finding
	// unusable is set if a file can't be read as what it should be.
	unusable bool
}

// Settings checks a settings file, and adds its regions to those of the installation.
func (r *Report) Settings(path string, in *Installation) {
	r.file(path, func(data []byte) []Finding { return checkSettings(data, in) })
}

// Configuration checks a configuration against an installation.
func (r *Report) Configuration(path string, in *Installation) {
	r.file(path, func(data []byte) []Finding { return checkConfiguration(data, in) })
}

// Scenario checks a scenario of experiments.
func (r *Report) Scenario(path string) {
	r.file(path, func(data []byte) []Finding { return checkScenario(path, data) })
}

// file reads and checks a file, and sorts its findings by their position.
func (r *Report) file(path string, check func(data []byte) []Finding) {
	data, err := os.ReadFile(path)
	if err != nil {
		r.unusable = true
		r.findings = append(r.findings, Finding{File: path, Severity: pslint.Error, Code: codeUnreadable, Text: err.Error()})
		return
	}
	findings := check(data)
	for i := range findings {
		findings[i].File = cmp.Or(findings[i].File, path)
		r.unusable = r.unusable || findings[i].Code == codeSyntax || findings[i].Code == codeUnreadable
	}
	slices.SortStableFunc(findings, func(a, b Finding) int {
		// Findings about the version in force come last.
		return cmp.Or(cmp.Compare(foreign(a, path), foreign(b, path)), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	r.findings = append(r.findings, findings...)
}

func foreign(f Finding, path string) int {
	if f.File == path {
		return 0
	}
	return 1
}

// Print prints each finding as a line for people, or as a line of JSON.
func (r *Report) Print(w io.Writer, asJSON bool) error {
	for _, f := range r.findings {
		text := f.String()
		if asJSON {
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
	return nil
}

// Unusable reports whether a file can't be read as what it should be.
func (r *Report) Unusable() bool { return r.unusable }

// Faulty reports whether there are errors or warnings.
func (r *Report) Faulty() bool {
	return slices.ContainsFunc(r.findings, func(f Finding) bool { return f.Severity != pslint.Note })
}
