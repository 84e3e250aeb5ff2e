package pstoml_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/version/pstoml"
)

type part struct {
	Name string          `toml:"name"`
	Span pstoml.Duration `toml:"span"`
}

type document struct {
	Count int    `toml:"count"`
	Parts []part `toml:"parts"`
}

func TestDecodeReportsPositionOfEveryFinding(t *testing.T) {
	d, s, findings := pstoml.Decode[document]("x.toml", []byte(`count = "many"
other = 1

[[parts]]
name = "a"
span = "soon"

[[parts]]
name = "b"
span = "2s"
`))
	findings.Sort()
	qt.Assert(t, findings.Error(), qt.Matches, `(?s)x\.toml:1:.*\nx\.toml:2:.*unknown key "other".*\nx\.toml:6:.*`)
	qt.Assert(t, d.Parts, qt.HasLen, 2)
	qt.Assert(t, d.Parts[1].Span.Duration, qt.Equals, 2*time.Second)
	qt.Assert(t, s.Invalid("parts[0].span"), qt.IsTrue)
	qt.Assert(t, s.Finding("parts[1].name", "is taken").String(), qt.Equals, "x.toml:9:1: is taken")
	// A path that is absent gets the position of its enclosing table.
	qt.Assert(t, s.Finding("parts[1].size", "is missing").String(), qt.Equals, "x.toml:8:3: is missing")
}

func TestDecodeReportsPositionOfSyntaxError(t *testing.T) {
	_, s, findings := pstoml.Decode[document]("x.toml", []byte("count = 1\nparts = [\n"))
	qt.Assert(t, s, qt.IsNil)
	qt.Assert(t, findings, qt.HasLen, 1)
	qt.Assert(t, findings[0].Line >= 2, qt.IsTrue)
}

func TestDurationRejectsInvalidAndNegative(t *testing.T) {
	var d pstoml.Duration
	for _, text := range []string{"", "2", "-1s", "soon"} {
		qt.Check(t, d.UnmarshalText([]byte(text)), qt.IsNotNil, qt.Commentf("%s", text))
	}
	qt.Assert(t, d.UnmarshalText([]byte("250ms")), qt.IsNil)
	qt.Assert(t, d.Duration, qt.Equals, 250*time.Millisecond)
}
