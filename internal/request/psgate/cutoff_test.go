package psgate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// contact is a fixed state of contact.
type contact struct {
	silence  time.Duration
	informed bool
}

func (c contact) Silence() time.Duration { return c.silence }
func (c contact) Informed() bool         { return c.informed }

func TestCheckContact(t *testing.T) {
	serve := &psplan.Route{WhenCutOff: psdoc.CutOffServe, KeyGrace: time.Hour}
	open := &psplan.Route{WhenCutOff: psdoc.CutOffServe, KeyGrace: time.Hour, Open: true}
	refuse := &psplan.Route{WhenCutOff: psdoc.CutOffRefuse, KeyGrace: time.Hour}
	tests := []struct {
		name    string
		route   *psplan.Route
		contact contact
		code    string
	}{
		{"in contact", refuse, contact{time.Second, true}, ""},
		{"a lookup while cut off", serve, contact{time.Minute, true}, ""},
		{"an order while cut off", refuse, contact{5 * time.Second, true}, "cutOff"},
		{"the key grace has just not ended", serve, contact{time.Hour, true}, ""},
		{"the key grace has ended", serve, contact{time.Hour + 1, true}, "cutOff"},
		{"an open route needs no key", open, contact{48 * time.Hour, true}, ""},
		{"withdrawals are not loaded", serve, contact{0, false}, "starting"},
		{"an open route needs no withdrawals", open, contact{0, false}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			x := &exchange{gate: &Gate{Contact: tt.contact}, route: tt.route}
			err := x.checkContact()
			if tt.code == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			var p *psproblem.Problem
			c.Assert(errors.As(err, &p), qt.IsTrue)
			c.Assert(p.Code, qt.Equals, tt.code)
			c.Assert(p.Ran, qt.Equals, psproblem.RanNo)
			c.Assert(p.Status, qt.Equals, 503)
			c.Assert(p.RetryAfter > 0, qt.IsTrue)
		})
	}
}
