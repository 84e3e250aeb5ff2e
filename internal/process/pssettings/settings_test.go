package pssettings_test

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/pssettings"
)

func TestExamplesSetEveryKey(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*/settings.toml")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.HasLen, 2)
	for _, f := range files {
		s, err := pssettings.Load(f)
		qt.Assert(t, err, qt.IsNil)
		for _, v := range []reflect.Value{reflect.ValueOf(*s), reflect.ValueOf(s.TLS), reflect.ValueOf(s.Log)} {
			for i := range v.NumField() {
				qt.Check(t, v.Field(i).IsZero(), qt.IsFalse, qt.Commentf("%s: %s", f, v.Type().Field(i).Name))
			}
		}
	}
}

func TestAllFaultsAreReported(t *testing.T) {
	_, err := pssettings.Parse("s.toml", []byte("name = \"A\"\nregion = \"r\"\ncolour = 1\ncallers = \"x\"\n[tls]\npeerKey = \"k\"\n[log]\nlevel = \"loud\"\n"))
	qt.Assert(t, err, qt.ErrorMatches, `(?s).*s\.toml:1:1: "A" is not a name.*s\.toml:3:1: unknown name "colour".*s\.toml:4:.*s\.toml:.*go together.*the log level is.*`)
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"egg-exchange", "cart-maker"} {
		data, err := os.ReadFile("../../../examples/" + name + "/settings.toml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("callers = 1\n[tls]\ncallerKey = []\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := pssettings.Parse("s.toml", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("%v, %v", s, err)
		}
	})
}
