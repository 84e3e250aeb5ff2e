package psreport

import (
	"encoding/json"
	"net/netip"
	"testing"

	"persimmonstep/internal/process/psfleet"
)

// strict fails if it is handed what a decoder should have passed over.
type strict struct {
	t *testing.T
}

func (s strict) Heard(r *psfleet.Report) {
	if r.Check() != nil {
		s.t.Fatalf("a faulty report was taken: %+v", r)
	}
}

func (s strict) Noticed(n *psfleet.Notice) {
	if n == nil {
		s.t.Fatal("no notice")
	}
}

func (s strict) Digested(d *psfleet.Digest) {
	if d.Check() != nil {
		s.t.Fatalf("a faulty digest was taken: %+v", d)
	}
}

func (strict) Lend(psfleet.TokenRequest) psfleet.TokenResponse { return psfleet.TokenResponse{} }

func (strict) Unread(netip.AddrPort, error) {}

func FuzzTake(f *testing.F) {
	for _, text := range []string{
		`{"method":"report","params":{"vm":"a","failureDomain":"b","region":"c","callers":"1.2.3.4:5","peers":"1.2.3.4:5","sequence":1}}`,
		`{"method":"notice","params":{"vm":"a","region":"c","servers":{"from":1,"to":2,"entries":[{"id":"x"}]}}}`,
		`{"method":"digest","params":{"digest":"H4sI"}}`,
		`{"id":7,"result":{"granted":true}}`, `{"method":"other"}`, `{`,
	} {
		f.Add([]byte(text))
	}
	l := &Link{waiting: map[uint64]chan psfleet.TokenResponse{7: make(chan psfleet.TokenResponse, 1)}}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m message
		if json.Unmarshal(data, &m) == nil && m.Method == methodTake {
			// Its answer needs a socket.
			return
		}
		_ = l.take(strict{t}, data, netip.AddrPort{})
	})
}
