package psdoc_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/version/psdoc"
)

// TestReferenceNamesEveryField keeps the operators' page equal to the documents' fields.
func TestReferenceNamesEveryField(t *testing.T) {
	data, err := os.ReadFile("../../../docs/operators/configuration.md")
	qt.Assert(t, err, qt.IsNil)
	sections := make(map[string]string)
	for _, s := range strings.Split(string(data), "\n## ")[1:] {
		title, text, _ := strings.Cut(s, "\n")
		sections[title] = text
	}
	for title, v := range map[string]any{
		"Top level": psdoc.Document{}, "[[regions]]": psdoc.Region{}, "[[failureDomains]]": psdoc.FailureDomain{},
		"[[vms]]": psdoc.VM{}, "[[servers]]": psdoc.Server{}, "[[workspaces]]": psdoc.Workspace{}, "[[keys]]": psdoc.Key{},
		"[[routes]]": psdoc.Route{}, "[routes.shift]": psdoc.Shift{}, "[[links]]": psdoc.Link{}, "[[drains]]": psdoc.Drain{},
		"[[clientBlocks]]": psdoc.ClientBlock{},
	} {
		var fields []string
		for f := range reflect.TypeOf(v).Fields() {
			if tag := f.Tag.Get("toml"); tag != "" {
				name, _, _ := strings.Cut(tag, ",")
				fields = append(fields, name)
			}
		}
		var rows []string
		for line := range strings.SplitSeq(sections[title], "\n") {
			if rest, found := strings.CutPrefix(line, "| `"); found {
				name, _, _ := strings.Cut(rest, "`")
				rows = append(rows, name)
			}
		}
		qt.Check(t, rows, qt.DeepEquals, fields, qt.Commentf("%s", title))
	}
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"network", "servers", "workspaces", "routes"} {
		data, err := os.ReadFile("../../../examples/egg-exchange/" + name + ".toml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("document = \"x\"\n[[routes]]\n[routes.shift]\nfraction = -1\n[[keys]]\ndigest = \"sha256:\"\n"))
	f.Add([]byte("document = \"x\"\nservers = [{slots = \"a\"}]\nlinks = 1\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, findings := psdoc.Parse("f.toml", data)
		if d == nil && len(findings) == 0 {
			t.Fatal("no document and no finding")
		}
		for _, v := range findings {
			if v.Line < 0 || v.Message == "" {
				t.Fatalf("bad finding %+v", v)
			}
		}
	})
}
