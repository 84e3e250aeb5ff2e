package psevent_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psevent"
)

var update = flag.Bool("update", false, "rewrite docs/EVENTS.md")

const page = "../../../docs/EVENTS.md"

// TestEventsPageMatchesCatalogue guards against a catalogue in docs/EVENTS.md that differs from the code.
func TestEventsPageMatchesCatalogue(t *testing.T) {
	text := render()
	if *update {
		qt.Assert(t, os.WriteFile(page, []byte(text), 0o600), qt.IsNil)
	}
	written, err := os.ReadFile(page)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(written), qt.Equals, text, qt.Commentf("run: go test ./internal/process/psevent -update"))
}

func TestEventNumbersAreUnique(t *testing.T) {
	last := psevent.Number(0)
	for _, e := range psevent.Catalogue() {
		qt.Check(t, e.Number > last, qt.IsTrue, qt.Commentf("event %d follows event %d", e.Number, last))
		qt.Check(t, e.Text, qt.Not(qt.Equals), "")
		last = e.Number
	}
}

// render returns the text of the page.
func render() string {
	var b strings.Builder
	b.WriteString(`# Events

Each log line is an event with a fixed number, in the field "event". Numbers never change
their meaning. This page is written from the code:
` + "`go test ./internal/process/psevent -update`" + `.

The field "reason" of 7402 is "overload", "lessUrgent" or "beyondUsual" for requests that were rejected for lack of slots. The field
"shortage" then has the inputs of the decision; with "beyondUsual", the request would have been sent if its workspace sent its usual
amount.

In 7305, "known" is the number of parts into which this VM divides the fleet's limits, "sharers" the number of VMs that may use its
own part, itself included, and "fraction" the sum of the parts that its groups use (docs/design/leases.md).

| number | level | text | fields |
| --- | --- | --- | --- |
`)
	for _, e := range psevent.Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Level, e.Text, strings.Join(e.Fields, ", "))
	}
	return b.String()
}
