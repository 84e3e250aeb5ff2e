// Package pstoml decodes TOML files and reports every fault with its position.
//
// A decoder that stops at the first fault makes the user run it again for each one. This package
// blanks an invalid line and continues. It also records the position of each value, so that later
// checks can report positions as well.
package pstoml

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// maxFindings limits the number of findings in decoding one file.
const maxFindings = 100

// Decode decodes a file's content into a value of type T and returns every finding. The source is nil
// only if the file has a syntax error.
func Decode[T any](file string, data []byte) (T, *Source, Findings) {
	var zero T
	s, err := newSource(file, data)
	if err != nil {
		return zero, nil, Findings{syntaxFinding(file, data)}
	}
	value, findings := decodeAll[T](s, bytes.Clone(data))
	return value, s, append(findings, checkTexts(s, &value)...)
}

// Valid reports whether a file's content has no syntax error.
func Valid(data []byte) bool {
	_, err := newSource("", data)
	return err == nil
}

// syntaxFinding returns the position and text of the first syntax error.
func syntaxFinding(file string, data []byte) Finding {
	var discard map[string]any
	err := toml.Unmarshal(data, &discard)
	var d *toml.DecodeError
	if errors.As(err, &d) {
		line, column := d.Position()
		return Finding{File: file, Line: line, Column: column, Message: strings.TrimPrefix(d.Error(), "toml: ")}
	}
	return Finding{File: file, Message: fmt.Sprintf("not a TOML document: %v", err)}
}

// decodeAll blanks each line whose value cannot be decoded and decodes the remaining lines again.
func decodeAll[T any](s *Source, data []byte) (T, Findings) {
	var findings Findings
	for {
		var value T
		decoder := toml.NewDecoder(bytes.NewReader(data))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&value)
		if err == nil || len(findings) >= maxFindings {
			return value, findings
		}
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return value, append(findings, s.unknownKeys(strict)...)
		}
		var decodeErr *toml.DecodeError
		if !errors.As(err, &decodeErr) {
			return value, append(findings, s.newFinding(0, 0, err.Error()))
		}
		line, column := decodeErr.Position()
		findings = append(findings, s.newFinding(line, column, strings.TrimPrefix(decodeErr.Error(), "toml: ")))
		s.markInvalid(line)
		if !blankLine(data, line) {
			return value, findings
		}
	}
}

func (s *Source) unknownKeys(e *toml.StrictMissingError) Findings {
	var findings Findings
	for _, m := range e.Errors {
		line, column := m.Position()
		findings = append(findings, s.newFinding(line, column, fmt.Sprintf("unknown key %q", strings.Join(m.Key(), "."))))
	}
	return findings
}

// blankLine overwrites a line with spaces and reports whether it was not blank before.
func blankLine(data []byte, line int) bool {
	for n := 1; n < line; n++ {
		i := bytes.IndexByte(data, '\n')
		if i < 0 {
			return false
		}
		data = data[i+1:]
	}
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		data = data[:i]
	}
	if len(bytes.TrimSpace(data)) == 0 {
		return false
	}
	for i := range data {
		data[i] = ' '
	}
	return true
}
