package pstoml

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// position is a line and column in a file, both counted from 1.
type position struct {
	line, column int
}

// Source maps each path of a decoded file, such as "routes[1].kind", to its position.
type Source struct {
	file      string
	positions map[string]position
	invalid   map[string]bool
}

// File returns the name of the file.
func (s *Source) File() string {
	return s.file
}

// Invalid reports whether the path's value could not be decoded and therefore has a finding already.
func (s *Source) Invalid(path string) bool {
	return s.invalid[path]
}

// Finding returns a finding for a path such as "servers[2].pool". A path that is absent gets the
// position of its nearest enclosing table.
func (s *Source) Finding(path, message string) Finding {
	for p := path; p != ""; p = parentPath(p) {
		if pos, found := s.positions[p]; found {
			return s.newFinding(pos.line, pos.column, message)
		}
	}
	return s.newFinding(1, 1, message)
}

func (s *Source) newFinding(line, column int, message string) Finding {
	return Finding{File: s.file, Line: line, Column: column, Message: message}
}

func (s *Source) markInvalid(line int) {
	for p, pos := range s.positions {
		if pos.line == line {
			s.invalid[p] = true
		}
	}
}

func parentPath(path string) string {
	if strings.HasSuffix(path, "]") {
		if i := strings.LastIndexByte(path, '['); i >= 0 && !strings.Contains(path[i:], ".") {
			return path[:i]
		}
	}
	return path[:max(strings.LastIndexByte(path, '.'), 0)]
}

// newSource records the position of each path of the file.
func newSource(file string, data []byte) (*Source, error) {
	s := &Source{file: file, positions: make(map[string]position), invalid: make(map[string]bool)}
	counts := make(map[string]int)
	parser := &unstable.Parser{}
	parser.Reset(data)
	cur := &cursor{data: data, line: 1}
	table := ""
	for parser.NextExpression() {
		e := parser.Expression()
		path, pos := keyPath(cur, e)
		switch e.Kind {
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", path, counts[path])
			counts[path]++
			s.positions[table] = pos
		case unstable.Table:
			table = nestedTable(path, counts)
			s.positions[table] = pos
		case unstable.KeyValue:
			s.positions[joinPath(table, path)] = pos
		}
	}
	return s, parser.Error()
}

// nestedTable returns the path of a table such as [routes.shift] below the last element of its array.
func nestedTable(path string, counts map[string]int) string {
	head, rest, found := strings.Cut(path, ".")
	if n := counts[head]; found && n > 0 {
		return fmt.Sprintf("%s[%d].%s", head, n-1, rest)
	}
	return path
}

func keyPath(c *cursor, e *unstable.Node) (string, position) {
	var parts []string
	var pos position
	for it := e.Key(); it.Next(); {
		n := it.Node()
		if len(parts) == 0 {
			pos = c.advance(int(n.Raw.Offset))
		}
		parts = append(parts, string(n.Data))
	}
	return strings.Join(parts, "."), pos
}

// cursor converts increasing offsets to lines and columns in one pass. The parser's own conversion
// counts from the start of the file each time, which takes minutes for a large file.
type cursor struct {
	data []byte
	// offset is the last offset converted, line its line and lineStart the offset at which that line
	// starts.
	offset, line, lineStart int
}

// advance returns the position of an offset that is not smaller than the last one.
func (c *cursor) advance(offset int) position {
	passed := c.data[c.offset:offset]
	c.line += bytes.Count(passed, []byte{'\n'})
	if i := bytes.LastIndexByte(passed, '\n'); i >= 0 {
		c.lineStart = c.offset + i + 1
	}
	c.offset = offset
	return position{line: c.line, column: offset - c.lineStart + 1}
}

func joinPath(table, path string) string {
	if table == "" {
		return path
	}
	return table + "." + path
}
