package psbody_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/psbody"
)

func read(t *testing.T, length int, chunked bool, limit int64) (*psbody.Body, *psbody.MemoryBudget, error) {
	t.Helper()
	var body io.Reader = strings.NewReader(strings.Repeat("x", length))
	if chunked {
		body = io.MultiReader(body)
	}
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "/", body)
	qt.Assert(t, err, qt.IsNil)
	if chunked {
		r.ContentLength = -1
	}
	b, m := &psbody.Body{}, &psbody.MemoryBudget{}
	return b, m, b.Read(httptest.NewRecorder(), r, limit, m)
}

func TestBodyIsReadCompletely(t *testing.T) {
	const long = 3 << 20
	for name, v := range map[string]struct {
		length  int
		chunked bool
		single  bool
	}{
		"empty": {0, false, false}, "short": {1000, false, false}, "short, chunked": {1000, true, false},
		"long": {long, false, true}, "long, chunked": {long, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			b, m, err := read(t, v.length, v.chunked, 0)
			qt.Assert(t, err, qt.IsNil)
			defer b.Close(m)
			qt.Assert(t, b.SingleUse(), qt.Equals, v.single)
			r, _ := b.Open()
			data, err := io.ReadAll(r)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, data, qt.HasLen, v.length)
			if !v.single {
				r, length := b.Open()
				data, err = io.ReadAll(r)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, int64(len(data)), qt.Equals, length)
			}
		})
	}
}

func TestBodyOverLimitIsRejected(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		_, _, err := read(t, 2000, chunked, 1000)
		qt.Assert(t, err, qt.Equals, psbody.ErrTooLarge)
	}
}
