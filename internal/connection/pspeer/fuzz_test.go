package pspeer

import (
	"encoding/json"
	"net/netip"
	"testing"

	"persimmonstep/internal/process/psmessage"
)

// strictHandler fails the test if it receives a message that the decoder should have rejected.
type strictHandler struct {
	t *testing.T
}

func (s strictHandler) HandleReport(r *psmessage.Report) {
	if r.Check() != nil {
		s.t.Fatalf("invalid report was accepted: %+v", r)
	}
}

func (s strictHandler) HandleNotice(n *psmessage.Notice) {
	if n == nil {
		s.t.Fatal("nil notice was accepted")
	}
}

func (s strictHandler) HandleDigest(d *psmessage.Digest) {
	if d.Check() != nil {
		s.t.Fatalf("invalid digest was accepted: %+v", d)
	}
}

func (strictHandler) GrantToken(psmessage.TokenRequest) psmessage.TokenResponse {
	return psmessage.TokenResponse{}
}

func (strictHandler) HandleInvalid(netip.AddrPort, error) {}

func FuzzHandleDatagram(f *testing.F) {
	for _, text := range []string{
		`{"method":"report","params":{"vm":"a","failureDomain":"b","region":"c","callers":"1.2.3.4:5","peers":"1.2.3.4:5","sequence":1}}`,
		`{"method":"notice","params":{"vm":"a","region":"c","servers":{"from":1,"to":2,"entries":[{"id":"x"}]}}}`,
		`{"method":"digest","params":{"digest":"H4sI"}}`,
		`{"id":7,"result":{"granted":true}}`, `{"method":"other"}`, `{`,
	} {
		f.Add([]byte(text))
	}
	e := &Endpoint{pending: map[uint64]chan psmessage.TokenResponse{7: make(chan psmessage.TokenResponse, 1)}}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m message
		if json.Unmarshal(data, &m) == nil && m.Method == methodTake {
			// The response to a token request needs a socket, which this endpoint doesn't have.
			return
		}
		_ = e.handleDatagram(strictHandler{t}, data, netip.AddrPort{})
	})
}
