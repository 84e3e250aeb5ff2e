package psmetric_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"persimmonstep/internal/process/pslease"
	"persimmonstep/internal/process/pslimit"
	"persimmonstep/internal/process/psmetric"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/internal/version/psconfig"
)

var readAt = time.Unix(1000, 0)

// source provides a fixed snapshot. Its store is unreadable.
type source struct {
	snapshot *pssnapshot.Snapshot
}

func (s source) Snapshot() *pssnapshot.Snapshot { return s.snapshot }

func (source) StoreLost() bool { return true }

func (source) StoreSilence() time.Duration { return 2500 * time.Millisecond }

func (source) ServerLinksLost() bool { return true }

func (source) Ready() bool { return true }

func TestMetricsReflectSnapshot(t *testing.T) {
	servers := []*psserver.Server{
		psserver.New(psserver.Entry{ID: "i-1"}, "north", readAt),
		psserver.New(psserver.Entry{ID: "i-2", ColdFor: time.Minute}, "north", readAt),
		psserver.New(psserver.Entry{ID: "i-3", State: psserver.Draining}, "north", readAt),
	}
	servers[0].RecordLimit(pslimit.Limit{Named: true, PerSecond: 2.5}, readAt, readAt)
	servers[0].CountSent()
	s := source{&pssnapshot.Snapshot{
		Index: psconfig.NewIndex(&psconfig.Configuration{Version: 7}), Servers: map[string][]*psserver.Server{"prices": servers},
		Holding:    pslease.Holding{Parts: 3, Groups: []pslease.Group{{Own: 0.25, Delegated: 0.5}}},
		RateShares: map[string]float64{"trays": 0.75}, ServersReadAt: readAt, FleetSize: 3, VMs: []pssnapshot.VM{{Name: "vm-1"}, {Name: "vm-2"}},
	}}
	r := prometheus.NewRegistry()
	qt.Assert(t, r.Register(psmetric.New(s, func() time.Time { return readAt.Add(2 * time.Second) })), qt.IsNil)
	qt.Assert(t, testutil.GatherAndCompare(r, strings.NewReader(`
# HELP persimmonstep_configuration_unknown Fields and words of the configuration in force that are not understood.
# TYPE persimmonstep_configuration_unknown gauge
persimmonstep_configuration_unknown 0
# HELP persimmonstep_configuration_version The configuration version in force; 0 before the first.
# TYPE persimmonstep_configuration_version gauge
persimmonstep_configuration_version 7
# HELP persimmonstep_limit_fraction Fraction of the fleet's limits, by use: own is this VM's part, group what it may use together with others.
# TYPE persimmonstep_limit_fraction gauge
persimmonstep_limit_fraction{use="group"} 0.75
persimmonstep_limit_fraction{use="own"} 0.25
# HELP persimmonstep_limit_parts The parts into which the fleet's limits are divided.
# TYPE persimmonstep_limit_parts gauge
persimmonstep_limit_parts 3
# HELP persimmonstep_ready 1 if the VM takes callers.
# TYPE persimmonstep_ready gauge
persimmonstep_ready 1
# HELP persimmonstep_server_limit_per_second The requests per second that a backend server takes from all VMs, where it names a limit.
# TYPE persimmonstep_server_limit_per_second gauge
persimmonstep_server_limit_per_second{server="i-1",service="prices"} 2.5
# HELP persimmonstep_server_links_lost 1 if the VM reaches no backend server.
# TYPE persimmonstep_server_links_lost gauge
persimmonstep_server_links_lost 1
# HELP persimmonstep_server_sent_total Requests and probes that this VM sent to a backend server that names a limit.
# TYPE persimmonstep_server_sent_total counter
persimmonstep_server_sent_total{server="i-1",service="prices"} 1
# HELP persimmonstep_servers Registered backend servers by service and state.
# TYPE persimmonstep_servers gauge
persimmonstep_servers{service="prices",state="cold"} 1
persimmonstep_servers{service="prices",state="out"} 1
persimmonstep_servers{service="prices",state="usable"} 1
# HELP persimmonstep_servers_age_seconds Time since the servers' entries were read.
# TYPE persimmonstep_servers_age_seconds gauge
persimmonstep_servers_age_seconds 2
# HELP persimmonstep_store_era How often the store came back from a copy, as far as the VM knows.
# TYPE persimmonstep_store_era gauge
persimmonstep_store_era{table="orders"} 0
persimmonstep_store_era{table="servers"} 0
# HELP persimmonstep_store_lost 1 if a table of the store can't be read now.
# TYPE persimmonstep_store_lost gauge
persimmonstep_store_lost 1
# HELP persimmonstep_store_silence_seconds Time since the store last responded, for the table for which it is longest.
# TYPE persimmonstep_store_silence_seconds gauge
persimmonstep_store_silence_seconds 2.5
# HELP persimmonstep_vms VMs by state: directed ones take callers, known ones may be in use.
# TYPE persimmonstep_vms gauge
persimmonstep_vms{state="directed"} 2
persimmonstep_vms{state="known"} 3
# HELP persimmonstep_workspace_share This VM's share of the rate of a workspace.
# TYPE persimmonstep_workspace_share gauge
persimmonstep_workspace_share{workspace="trays"} 0.75
`)), qt.IsNil)
}
