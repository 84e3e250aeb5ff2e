package psjson_test

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/version/psjson"
)

const document = `{"version": 7,
 "routes": [
  {"name": "a,b"},
  {"name": "c", "extra": {"x": [1, 22]},
   "name": "d"}
 ]
}
`

// TestValuesAreLocated guards against findings that point to another line than that of their value.
func TestValuesAreLocated(t *testing.T) {
	s, err := psjson.Locate([]byte(document))
	qt.Assert(t, err, qt.IsNil)
	for path, want := range map[string]string{
		"":                     "1:1",
		"version":              "1:2",
		"routes":               "2:2",
		"routes[0]":            "3:3",
		"routes[0].name":       "3:4",
		"routes[1].extra.x[1]": "4:36",
		"routes[1].name":       "5:4",
		"routes[].extra":       "4:17",
		"routes[].absent":      "2:2",
		"routes[1].absent.y":   "4:3",
		"absent":               "1:1",
		"[":                    "1:1",
	} {
		line, column := s.Position(path)
		qt.Check(t, fmt.Sprintf("%d:%d", line, column), qt.Equals, want, qt.Commentf("%q", path))
	}
	qt.Assert(t, s.Repeated, qt.DeepEquals, []string{"routes[1].name"})
}

func TestSyntaxErrorsAreLocated(t *testing.T) {
	for text, want := range map[string]string{"{\n \"a\": ]": "2:7", "": "1:1", "{\n": "1:2", "{} x": "1:4"} {
		_, err := psjson.Locate([]byte(text))
		var e *psjson.SyntaxError
		qt.Assert(t, errors.As(err, &e), qt.IsTrue)
		qt.Check(t, fmt.Sprintf("%d:%d", e.Line, e.Column), qt.Equals, want, qt.Commentf("%q", text))
	}
}

// FuzzLocate guards against documents that the package can't read although a decoder accepts them.
func FuzzLocate(f *testing.F) {
	f.Add([]byte(document), "routes[1].name")
	f.Add([]byte(`[[],{"":{"[]":1}}]`), "[].")
	f.Fuzz(func(t *testing.T, data []byte, path string) {
		s, err := psjson.Locate(data)
		if err != nil {
			return
		}
		if line, column := s.Position(path); line < 1 || column < 1 {
			t.Fatalf("%q: line %d, column %d", path, line, column)
		}
	})
}
