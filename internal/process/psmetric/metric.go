// Package psmetric exports the control state of a VM as Prometheus metrics.
//
// The values are computed from a snapshot at each scrape, so that they cost nothing in between.
package psmetric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"persimmonstep/internal/process/pssnapshot"
)

const namespace = "persimmonstep"

// Source provides the state from which the metrics are computed.
type Source interface {
	Snapshot() *pssnapshot.Snapshot
	// StoreLost reports whether a table of the store is currently unreadable.
	StoreLost() bool
	// StoreSilence returns the time since the store last responded for the table for which that is longest; 0 before
	// the first response.
	StoreSilence() time.Duration
	// ServerLinksLost reports whether the VM reaches no backend server.
	ServerLinksLost() bool
	Ready() bool
}

var (
	ready           = prometheus.NewDesc(namespace+"_ready", "1 if the VM takes callers.", nil, nil)
	storeLost       = prometheus.NewDesc(namespace+"_store_lost", "1 if a table of the store can't be read now.", nil, nil)
	serverLinksLost = prometheus.NewDesc(namespace+"_server_links_lost", "1 if the VM reaches no backend server.", nil, nil)
	storeSilence    = prometheus.NewDesc(namespace+"_store_silence_seconds", "Time since the store last responded, for the table for which it is longest.", nil, nil)
	// configurationVersion is a gauge, so that alerts can compare the versions of VMs.
	configurationVersion = prometheus.NewDesc(namespace+"_configuration_version", "The configuration version in force; 0 before the first.", nil, nil)
	configurationUnknown = prometheus.NewDesc(namespace+"_configuration_unknown", "Fields and words of the configuration in force that are not understood.", nil, nil)
	storeEra             = prometheus.NewDesc(namespace+"_store_era", "How often the store came back from a copy, as far as the VM knows.", []string{"table"}, nil)
	serversAge           = prometheus.NewDesc(namespace+"_servers_age_seconds", "Time since the servers' entries were read.", nil, nil)
	servers              = prometheus.NewDesc(namespace+"_servers", "Registered backend servers by service and state.", []string{"service", "state"}, nil)
	serverLimit          = prometheus.NewDesc(namespace+"_server_limit_per_second", "The requests per second that a backend server takes from all VMs, where it names a limit.", []string{"service", "server"}, nil)
	serverSent           = prometheus.NewDesc(namespace+"_server_sent_total", "Requests and probes that this VM sent to a backend server that names a limit.", []string{"service", "server"}, nil)
	vms                  = prometheus.NewDesc(namespace+"_vms", "VMs by state: directed ones take callers, known ones may be in use.", []string{"state"}, nil)
	limitParts           = prometheus.NewDesc(namespace+"_limit_parts", "The parts into which the fleet's limits are divided.", nil, nil)
	limitFraction        = prometheus.NewDesc(namespace+"_limit_fraction", "Fraction of the fleet's limits, by use: own is this VM's part, group what it may use together with others.", []string{"use"}, nil)
	workspaceShare       = prometheus.NewDesc(namespace+"_workspace_share", "This VM's share of the rate of a workspace.", []string{"workspace"}, nil)
)

// Collector collects the metrics of a VM. It implements [prometheus.Collector].
type Collector struct {
	source Source
	now    func() time.Time
}

// New returns a collector that reads from a source and takes the current time from now.
func New(s Source, now func() time.Time) *Collector { return &Collector{source: s, now: now} }

// Describe sends the descriptors of all metrics.
func (*Collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{ready, storeLost, storeSilence, serverLinksLost, configurationVersion, configurationUnknown, storeEra, serversAge, servers, serverLimit, serverSent, vms, limitParts, limitFraction, workspaceShare} {
		out <- d
	}
}

// Collect computes the metrics from the current snapshot.
func (c *Collector) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	s, now := c.source.Snapshot(), c.now()
	gauge(ready, boolValue(c.source.Ready()))
	gauge(storeLost, boolValue(c.source.StoreLost()))
	gauge(serverLinksLost, boolValue(c.source.ServerLinksLost()))
	gauge(storeSilence, c.source.StoreSilence().Seconds())
	if s.Index != nil {
		gauge(configurationVersion, float64(s.Index.Configuration.Version))
		gauge(configurationUnknown, float64(len(s.Index.Configuration.Unknown)))
	}
	gauge(limitParts, float64(s.Holding.Parts))
	gauge(limitFraction, s.Holding.Part(), "own")
	gauge(limitFraction, s.Holding.Total(), "group")
	for name, share := range s.RateShares {
		gauge(workspaceShare, share, name)
	}
	desiredState, entries := s.Eras()
	gauge(storeEra, float64(desiredState), "orders")
	gauge(storeEra, float64(entries), "servers")
	if !s.ServersReadAt.IsZero() {
		gauge(serversAge, now.Sub(s.ServersReadAt).Seconds())
	}
	gauge(vms, float64(len(s.VMs)), "directed")
	gauge(vms, float64(s.FleetSize), "known")
	for service, list := range s.Servers {
		states := map[string]int{"usable": 0, "cold": 0, "out": 0}
		for _, v := range list {
			view := v.View(now)
			if view.Limit.Named {
				gauge(serverLimit, view.Limit.PerSecond, service, view.Entry.ID)
				out <- prometheus.MustNewConstMetric(serverSent, prometheus.CounterValue, float64(v.Sent()), service, view.Entry.ID)
			}
			switch {
			case !view.Usable:
				states["out"]++
			case view.Cold:
				states["cold"]++
			default:
				states["usable"]++
			}
		}
		for state, n := range states {
			gauge(servers, float64(n), service, state)
		}
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
