package pspeer

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"testing"

	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/trial/psmutation"
)

// strictHandler fails the test if it receives a message that the decoder should have rejected.
type strictHandler struct {
	t *testing.T
}

func (s strictHandler) HandleReport(r *psmessage.Report) {
	if r.Check() != nil {
		s.t.Fatalf("invalid report was accepted: %+v", r)
	}
	s.passOn(r)
}

func (s strictHandler) HandleNotice(n *psmessage.Notice) {
	if n == nil {
		s.t.Fatal("nil notice was accepted")
	}
	s.passOn(n)
}

func (s strictHandler) HandleDigest(d *psmessage.Digest) {
	if d.Check() != nil {
		s.t.Fatalf("invalid digest was accepted: %+v", d)
	}
	s.passOn(d)
}

// passOn encodes an accepted message as it is passed on.
func (s strictHandler) passOn(m any) {
	if _, err := json.Marshal(m); err != nil {
		s.t.Fatalf("accepted message can't be passed on: %+v: %s", m, err)
	}
}

func (strictHandler) GrantToken(psmessage.TokenRequest) psmessage.TokenResponse {
	return psmessage.TokenResponse{}
}

func (strictHandler) HandleInvalid(netip.AddrPort, error) {}

// messages are valid and invalid datagrams.
var messages = []string{
	`{"method":"report","params":{"vm":"a","failureDomain":"b","region":"c","callers":"1.2.3.4:5","peers":"1.2.3.4:5","sequence":1,"departed":[{"id":"i-1","incarnation":1,"sequence":3}]}}`,
	`{"method":"notice","params":{"vm":"a","region":"c","servers":{"from":1,"to":2,"entries":[{"id":"x"}]}}}`,
	`{"method":"digest","params":{"digest":"H4sI"}}`,
	`{"id":7,"result":{"granted":true}}`, `{"method":"other"}`, `{`,
}

func FuzzHandleDatagram(f *testing.F) {
	for _, text := range messages {
		f.Add([]byte(text))
	}
	f.Fuzz(handle)
}

// handle processes a datagram with a handler that fails the test for invalid messages.
func handle(t *testing.T, data []byte) {
	e := &Endpoint{pending: map[uint64]chan psmessage.TokenResponse{7: make(chan psmessage.TokenResponse, 1)}}
	var m message
	if json.Unmarshal(data, &m) == nil && m.Method == methodTake {
		// The response to a token request needs a socket, which this endpoint doesn't have.
		return
	}
	_ = e.handleDatagram(strictHandler{t}, data, netip.AddrPort{})
}

// TestMutatedDatagrams handles datagrams with random changes, the same in each run.
func TestMutatedDatagrams(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 5000 {
		handle(t, psmutation.Mutate(random, []byte(messages[random.IntN(2)])))
	}
}
