package psbody_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"persimmonstep/internal/connection/psbody"
	"persimmonstep/internal/connection/psbudget"
)

func read(t *testing.T, length int, chunked bool, limit int64) (*psbody.Body, error) {
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
	b := &psbody.Body{}
	return b, b.Read(httptest.NewRecorder(), r, limit)
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
			b, err := read(t, v.length, v.chunked, 0)
			qt.Assert(t, err, qt.IsNil)
			defer b.Close()
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
		_, err := read(t, 2000, chunked, 1000)
		qt.Assert(t, err, qt.Equals, psbody.ErrTooLarge)
	}
}

// TestBodiesAreDrawnFromTheBudget covers callers that send more bodies than the VM can hold: a body that doesn't fit is
// refused, and what was drawn is given back.
func TestBodiesAreDrawnFromTheBudget(t *testing.T) {
	budget := psbudget.New(1<<20, time.Now)
	for _, length := range []int64{700 << 10, -1} {
		account, closeAccount := budget.Open(func() {})
		r := httptest.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader(strings.Repeat("x", 700<<10))))
		r = r.WithContext(psbudget.With(r.Context(), account))
		r.ContentLength = length
		b := &psbody.Body{}
		err := b.Read(httptest.NewRecorder(), r, 0)
		if length > 0 {
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, budget.Usage().Used, qt.Equals, length)
		} else {
			// The buffer of a body of unknown length doubles, and two thirds of the budget are too little for that.
			qt.Check(t, errors.Is(err, psbody.ErrNoMemory), qt.IsTrue)
		}
		b.Close()
		qt.Check(t, budget.Usage().Used, qt.Equals, int64(0))
		closeAccount()
	}
}
