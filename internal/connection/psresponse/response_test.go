package psresponse_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/psbudget"
	"persimmonstep/internal/connection/psresponse"
	"persimmonstep/platform/psstandin"
)

func response(status int, body io.Reader, signed bool) *http.Response {
	r := &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(body)}
	if signed {
		psstandin.Sign(r.Header, "id-1")
	}
	return r
}

func TestResponseClass(t *testing.T) {
	for name, v := range map[string]struct {
		status int
		signed bool
		want   psresponse.Class
	}{
		"success":                     {200, true, psresponse.Valid},
		"client error of the server":  {404, true, psresponse.Valid},
		"success without a signature": {200, false, psresponse.Unsigned},
		"response of another server":  {421, false, psresponse.Misdirected},
		"failure of the server":       {500, true, psresponse.ServerError},
		"failure of something else":   {502, false, psresponse.ServerError},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := psresponse.Read(response(v.status, strings.NewReader("x"), v.signed), nil, 0)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, r.Class(), qt.Equals, v.want)
		})
	}
}

// truncatedReader is the end of a truncated body.
type truncatedReader struct{}

func (truncatedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func TestReadFailsOnTruncatedResponse(t *testing.T) {
	_, err := psresponse.Read(response(200, io.MultiReader(strings.NewReader("begun"), truncatedReader{}), true), nil, 0)
	qt.Assert(t, err, qt.ErrorIs, io.ErrUnexpectedEOF)
}

func TestLongResponseIsStreamed(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 1<<20)
	r, err := psresponse.Read(response(200, bytes.NewReader(body), true), nil, 0)
	qt.Assert(t, err, qt.IsNil)
	defer r.Close()
	rest, err := io.ReadAll(r.Remainder)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, append(r.Body, rest...), qt.DeepEquals, body)
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	h := http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"},
		"Content-Type": {"text/plain"}, "X-Own": {"a", "b"},
	}
	qt.Assert(t, psresponse.EndToEndHeaders(h), qt.DeepEquals,
		http.Header{"Content-Type": {"text/plain"}, "X-Own": {"a", "b"}})
}

// TestResponseWithoutMemoryIsStreamed covers a VM whose memory is held by others: a short response is streamed after the
// part for which there is memory, and what was drawn is returned after it.
func TestResponseWithoutMemoryIsStreamed(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 100<<10)
	for _, free := range []int64{0, 4 << 10, 40 << 10, 1 << 20} {
		b := psbudget.New(free, time.Now)
		a, closeAccount := b.Open(func() {})
		defer closeAccount()
		r, err := psresponse.Read(response(200, bytes.NewReader(body), true), a, 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Remainder == nil, qt.Equals, free == 1<<20)
		qt.Assert(t, len(r.Body) == 0, qt.Equals, free == 0)
		qt.Assert(t, b.Usage().Used <= free, qt.IsTrue)
		w := httptest.NewRecorder()
		qt.Assert(t, r.Relay(w), qt.IsNil)
		qt.Assert(t, bytes.Equal(w.Body.Bytes(), body), qt.IsTrue)
		qt.Assert(t, b.Usage().Used, qt.Equals, int64(0))
	}
}

// BenchmarkEndToEndHeaders measures a header of 16 KB that names as many headers as it can.
func BenchmarkEndToEndHeaders(b *testing.B) {
	h, names := http.Header{}, []string{}
	for i := range 2000 {
		name := http.CanonicalHeaderKey(strconv.FormatInt(int64(i), 36))
		h[name], names = []string{""}, append(names, strconv.FormatInt(int64(i+2000), 36))
	}
	h.Set("Connection", strings.Join(names, ","))
	for b.Loop() {
		psresponse.EndToEndHeaders(h)
	}
}
