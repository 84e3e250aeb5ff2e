// Package psprobe asks backend servers how they are.
//
// Only servers that failed, or of which it isn't known whether they are cold, are probed;
// of all others their answers tell.
package psprobe

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/platform"
)

// timeout bounds a probe. A server answers it in turn with its requests.
const timeout = 600 * time.Millisecond

// Prober probes servers over connections of its own.
type Prober struct {
	transports *pstransport.Transports
}

// New returns a prober.
func New(t *pstransport.Transports) *Prober { return &Prober{t} }

// Probe asks a server's health path.
func (p *Prober) Probe(ctx context.Context, e psserver.Entry, path string) (platform.Health, error) {
	limited, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	r := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: e.Address.String(), Path: path},
		Host: e.Address.String(), Header: http.Header{}, Close: true,
	}
	result, err := p.transports.Send(limited, e.Address, 0, r)
	if err != nil {
		return platform.Health{}, err
	}
	_ = result.Response.Body.Close()
	return platform.ReadHealth(result.Response.StatusCode, result.Response.Header), nil
}
