package psdev_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psbackend"
)

func TestOrderRunsOnceThroughAllVMs(t *testing.T) {
	c := qt.New(t)
	s := start(t)
	var first string
	for _, v := range s.Ready.Callers {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+v.String()+"/orders/trays", strings.NewReader("30 trays"))
		c.Assert(err, qt.IsNil)
		r.Header.Set("Authorization", "Bearer "+s.Ready.Workspaces[0].Key)
		r.Header.Set("Idempotency-Key", "order-17")
		a, err := http.DefaultClient.Do(r)
		c.Assert(err, qt.IsNil)
		text, err := io.ReadAll(a.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(a.Body.Close(), qt.IsNil)
		c.Assert(a.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
		if first == "" {
			first = string(text)
		}
		c.Assert(string(text), qt.Equals, first)
	}
	runs := lo.SumBy(s.Servers, func(b *psbackend.Server) int { return b.Runs()["order-17"] })
	c.Assert(runs, qt.Equals, 1)
}
