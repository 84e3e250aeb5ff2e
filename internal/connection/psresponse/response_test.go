package psresponse_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

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

func TestClass(t *testing.T) {
	for name, v := range map[string]struct {
		status int
		signed bool
		want   psresponse.Class
	}{
		"success":                   {200, true, psresponse.Good},
		"the server's own refusal":  {404, true, psresponse.Good},
		"success without a mark":    {200, false, psresponse.Spoilt},
		"another server":            {421, false, psresponse.Moved},
		"failure of the server":     {500, true, psresponse.Failing},
		"failure of something else": {502, false, psresponse.Failing},
	} {
		t.Run(name, func(t *testing.T) {
			a, err := psresponse.Read(response(v.status, strings.NewReader("x"), v.signed))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, a.Class(), qt.Equals, v.want)
		})
	}
}

// broken is a body that ends early.
type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func TestAnAnswerThatEndsEarlyIsNone(t *testing.T) {
	_, err := psresponse.Read(response(200, io.MultiReader(strings.NewReader("begun"), broken{}), true))
	qt.Assert(t, err, qt.ErrorIs, io.ErrUnexpectedEOF)
}

func TestOfALongAnswerTheRestFollows(t *testing.T) {
	whole := bytes.Repeat([]byte("x"), 1<<20)
	a, err := psresponse.Read(response(200, bytes.NewReader(whole), true))
	qt.Assert(t, err, qt.IsNil)
	defer a.Close()
	rest, err := io.ReadAll(a.Rest)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, append(a.Body, rest...), qt.DeepEquals, whole)
}

func TestHeadersOfOneConnectionAreNotForwarded(t *testing.T) {
	h := http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"},
		"Content-Type": {"text/plain"}, "X-Own": {"a", "b"},
	}
	qt.Assert(t, psresponse.Forwardable(h), qt.DeepEquals, http.Header{"Content-Type": {"text/plain"}, "X-Own": {"a", "b"}})
}
