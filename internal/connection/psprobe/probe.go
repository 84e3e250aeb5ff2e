// Package psprobe is the active health check of backend servers.
//
// A server is probed only if it failed, or if it is unknown whether it is in its cold start. The health of all other
// servers follows from their responses to requests.
package psprobe

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/platform/psheader"
)

// timeout bounds a probe, which includes its queueing delay: a server queues probes together with requests.
const timeout = 600 * time.Millisecond

// Prober probes servers, each time over a dedicated connection.
type Prober struct {
	transport *pstransport.Transport
}

// New returns a prober that sends its requests through the transport.
func New(t *pstransport.Transport) *Prober { return &Prober{t} }

// Probe requests the health path of a server and returns the health that the server reports. It fails if the server
// doesn't respond.
func (p *Prober) Probe(ctx context.Context, e psserver.Entry, path string) (psheader.Health, error) {
	limited, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	r := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: e.Address.String(), Path: path},
		Host: e.Address.String(), Header: http.Header{}, Close: true,
	}
	result, err := p.transport.Send(limited, e.Address, 0, r)
	if err != nil {
		return psheader.Health{}, err
	}
	_ = result.Response.Body.Close()
	return psheader.ReadHealth(result.Response.StatusCode, result.Response.Header), nil
}
