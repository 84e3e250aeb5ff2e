// Package psjson locates the values of JSON documents, so that findings about a value can give its position.
package psjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// SyntaxError reports that a document is not JSON.
type SyntaxError struct {
	// Line and Column are the position of the first byte that can't be read, both counted from 1.
	Line, Column int
	Cause        error
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("read JSON: line %d, column %d: %v", e.Line, e.Column, e.Cause)
}

// Unwrap returns the cause.
func (e *SyntaxError) Unwrap() error { return e.Cause }

// Source maps each path of a document, such as "routes[1].name", to its position.
type Source struct {
	data    []byte
	offsets map[string]int
	// lines are the offsets at which lines start.
	lines []int
	// Repeated lists the paths of members that occur more than once in their object.
	Repeated []string
}

// Locate records the position of each value of a document. Its error is of type [*SyntaxError].
func Locate(data []byte) (*Source, error) {
	s := &Source{data: data, offsets: make(map[string]int), lines: []int{0}}
	for i, c := range data {
		if c == '\n' {
			s.lines = append(s.lines, i+1)
		}
	}
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		offset := len(data)
		var e *json.SyntaxError
		if errors.As(err, &e) && e.Offset > 0 {
			// The error occurs after the byte that can't be read.
			offset = int(e.Offset) - 1
		}
		line, column := s.positionAt(offset)
		return nil, &SyntaxError{Line: line, Column: column, Cause: err}
	}
	d := json.NewDecoder(bytes.NewReader(data))
	s.offsets[""] = s.next(d)
	s.value(d, "")
	return s, nil
}

// next returns the offset of the decoder's next token.
func (s *Source) next(d *json.Decoder) int {
	rest := s.data[d.InputOffset():]
	return len(s.data) - len(bytes.TrimLeft(rest, " \t\r\n:,"))
}

// value reads a value and records the positions within it. The document is valid, so the decoder returns no error.
func (s *Source) value(d *json.Decoder, path string) {
	token, _ := d.Token()
	switch token {
	case json.Delim('{'):
		for d.More() {
			at := s.next(d)
			name, _ := d.Token()
			member := Join(path, fmt.Sprint(name))
			if _, found := s.offsets[member]; found {
				s.Repeated = append(s.Repeated, member)
			}
			s.offsets[member] = at
			s.value(d, member)
		}
		_, _ = d.Token()
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			element := fmt.Sprintf("%s[%d]", path, i)
			s.offsets[element] = s.next(d)
			s.value(d, element)
		}
		_, _ = d.Token()
	}
}

// Has reports whether the document has a value at a path.
func (s *Source) Has(path string) bool {
	_, found := s.offsets[path]
	return found
}

// Position returns the line and column of a path, both counted from 1; the column counts bytes. A member is located by its
// name. An absent path has the position of its nearest enclosing value. In a path such as "routes[].name", the
// brackets stand for the first element that has the value.
func (s *Source) Position(path string) (line, column int) {
	if before, after, found := strings.Cut(path, "[]"); found {
		for i := 0; s.Has(fmt.Sprintf("%s[%d]", before, i)); i++ {
			if p := fmt.Sprintf("%s[%d]%s", before, i, after); strings.Contains(after, "[]") || s.Has(p) {
				return s.Position(p)
			}
		}
	}
	for path != "" && !s.Has(path) {
		path = parent(path)
	}
	return s.positionAt(s.offsets[path])
}

func (s *Source) positionAt(offset int) (line, column int) {
	line, _ = slices.BinarySearch(s.lines, offset+1)
	return line, offset - s.lines[line-1] + 1
}

// Join returns the path of an object's member.
func Join(object, member string) string {
	if object == "" {
		return member
	}
	return object + "." + member
}

func parent(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}
