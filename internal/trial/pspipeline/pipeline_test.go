package pspipeline_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/trial/pspipeline"
)

// TestPipelinedRequestsShareConnections guards against callers that pipeline in name only, and against requests that get
// another one's response. Go's server reads the next request after each response, so its connections may serve four
// requests that were sent at once. Every seventh response closes its connection; requests behind it must be sent again.
func TestPipelinedRequestsShareConnections(t *testing.T) {
	var mutex sync.Mutex
	conns, served := make(map[string]bool), 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mutex.Lock()
		conns[r.RemoteAddr] = true
		served++
		if served%7 == 0 {
			w.Header().Set("Connection", "close")
		}
		mutex.Unlock()
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	defer s.Close()
	p := pspipeline.New((&net.Dialer{}).DialContext)
	defer p.Close()
	client := &http.Client{Transport: p, Timeout: 5 * time.Second}
	var sending sync.WaitGroup
	for i := range 40 {
		sending.Go(func() {
			path := fmt.Sprint("/", i)
			response, err := client.Get(s.URL + path) //nolint:noctx // a test's request
			if !qt.Check(t, err, qt.IsNil) {
				return
			}
			body, err := io.ReadAll(response.Body)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, string(body), qt.Equals, path)
		})
		time.Sleep(time.Millisecond)
	}
	sending.Wait()
	qt.Check(t, served, qt.Equals, 40)
	qt.Check(t, len(conns) < 30, qt.IsTrue, qt.Commentf("%d connections for 40 requests", len(conns)))
}
