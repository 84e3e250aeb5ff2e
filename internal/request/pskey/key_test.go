package pskey_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"persimmonstep/internal/request/pskey"
	"persimmonstep/internal/version/psdoc"
)

func TestScanFindsTheSecretWhereverItStands(t *testing.T) {
	own := pskey.New()
	unknown := func(psdoc.Name) (psdoc.Digest, bool) { return psdoc.Digest{}, false }
	rapid.Check(t, func(t *rapid.T) {
		around := rapid.StringMatching(`[a-z0-9/%. ;=-]{0,20}`)
		value := around.Draw(t, "before") + own.Secret + around.Draw(t, "after")
		if rapid.Bool().Draw(t, "upper") {
			value = strings.ToUpper(value)
		}
		r := httptest.NewRequest(http.MethodGet, "/x", nil)
		r.Header.Set("X-Any", value)
		if !(pskey.Scan{Own: own, Known: unknown}).Find(r) {
			t.Fatalf("the secret was not found in %q", value)
		}
		part := strings.ToLower(value[:len(value)/2])
		r.Header.Set("X-Any", part)
		if (pskey.Scan{Own: own, Known: unknown}).Find(r) != strings.Contains(part, own.Secret) {
			t.Fatalf("wrong answer for %q", part)
		}
	})
}

func FuzzParse(f *testing.F) {
	for _, v := range []string{"k1.secret", "", ".", "k1.", ".secret", "K1.x", "k1.a.b", "k1." + strings.Repeat("x", 300)} {
		f.Add(v)
	}
	f.Fuzz(func(t *testing.T, text string) {
		k, err := pskey.Parse(text)
		if err == nil && (k.String() != text || k.ID == "" || k.Secret == "") {
			t.Fatalf("%q was read as %q", text, k)
		}
		h := http.Header{"Authorization": {"Bearer " + text, "Bearer " + text}, "Proxy-Authorization": {text}}
		_, found, err := pskey.Take(h)
		if len(h) != 0 || found == (err != nil) {
			t.Fatalf("%q left %v", text, h)
		}
	})
}

func BenchmarkScan(b *testing.B) {
	r := httptest.NewRequest(http.MethodGet, "/prices/eggs?size=large", nil)
	r.Header.Set("User-Agent", "Mozilla/5.0 (X11; Linux x86_64; rv:140.0) Gecko/20100101 Firefox/140.0")
	r.Header.Set("Accept", "text/html,application/xhtml+xml,application/xml;q=0.9,*/*;q=0.8")
	s := pskey.Scan{Own: pskey.New(), Known: func(psdoc.Name) (psdoc.Digest, bool) { return psdoc.Digest{}, false }}
	b.ReportAllocs()
	for b.Loop() {
		s.Find(r)
	}
}
