package pstoken

import (
	"maps"
	"time"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/pslimit"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psrate"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pssnapshot"
)

const (
	// trialRate is the least rate in requests per second at which a server with a limit gets requests, because only
	// the response to a request shows whether the limit still stands.
	trialRate = 0.25
	// serverBurst is the number of requests that a server may get at once over its limit.
	serverBurst = 2
	// serverPrimaryShare and serverBackupShare are the fractions of a server's limit that are granted by the primary
	// owner of its tokens and by the backup.
	serverPrimaryShare = 1.0
	serverBackupShare  = 0.12
	// overbooking is the ratio of the tokens that VMs request to those that are granted, so that the requests of all
	// VMs together use up the limit although they vary.
	overbooking = 1.25
	// unknownServerWait is when to retry for a server that the owner doesn't know yet.
	unknownServerWait = 300 * time.Millisecond
	// grantLogInterval is the least time between two log lines about the tokens of a server.
	grantLogInterval = 2 * time.Second
)

// ownedServerKey identifies the bucket of a server's limit, which this VM owns as the primary or as the backup owner.
type ownedServerKey struct {
	run    psserver.Run
	backup bool
}

// ownedServer is the bucket of a server's limit.
type ownedServer struct {
	bucket *psrate.Bucket
	usedAt time.Time
	// requests, wanted and granted are sums since the last log line, at loggedAt: requests for tokens, requests that
	// VMs would have sent to the server, and granted tokens.
	requests, wanted, granted int
	loggedAt                  time.Time
}

func (o *ownedServer) record(q psmessage.TokenRequest, response psmessage.TokenResponse) {
	o.requests++
	o.wanted += q.Wanted
	if response.Granted {
		o.granted++
	}
}

// grantServer answers a request for tokens of a server's limit.
func (t *Tokens) grantServer(s *pssnapshot.Snapshot, q psmessage.TokenRequest) psmessage.TokenResponse {
	server, found := s.Server(q.Service, q.Server.Run)
	if !found {
		return psmessage.TokenResponse{Wait: unknownServerWait, Fraction: 1}
	}
	now := t.now()
	t.recordLimit(server, *q.Server, now)
	limit, age := server.Limit(now)
	response := psmessage.TokenResponse{Fraction: 1}
	if limit != q.Server.Limit {
		response.Server = &psmessage.ServerLimit{Run: q.Server.Run, Limit: limit, Age: age}
	}
	if !limit.Named {
		return response
	}
	fraction := s.ServerTokenFraction(server.Entry(), server.Region, q.Backup)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if fraction <= 0 {
		delete(t.ownedServers, ownedServerKey{q.Server.Run, q.Backup})
		response.NotOwner, response.Wait = true, ownerChangeWait
		return response
	}
	rate := serverRate(limit, q.Backup, fraction)
	o := t.ownedServer(ownedServerKey{q.Server.Run, q.Backup}, now.Add(s.PropagationTime), now)
	o.bucket.AddDemand(q.Wanted-1, now)
	response.Granted, response.Wait = o.bucket.Take(rate, 1, now)
	demand := o.bucket.Demand(now)
	response.Fraction = min(1, overbooking*rate.Rate/max(demand, rate.Rate))
	o.record(q, response)
	if now.Sub(o.loggedAt) >= grantLogInterval {
		psevent.ServerTokensGranted.Log(t.logger, q.Server.ID, q.Service, limit.String(), age.String(), q.Backup,
			fraction, rate.Rate, demand, response.Fraction, o.requests, o.wanted, o.granted)
		o.requests, o.wanted, o.granted, o.loggedAt = 0, 0, 0, now
	}
	return response
}

// serverRate returns the rate that an owner grants of a server's limit. fraction is the fraction of the limit for which it is
// the owner.
func serverRate(l pslimit.Limit, backup bool, fraction float64) psrate.Limit {
	share := serverPrimaryShare
	if backup {
		share = serverBackupShare
	}
	return psrate.OwnerLimit(psrate.Limit{Rate: max(trialRate, l.PerSecond), Burst: serverBurst}, share, fraction)
}

// ownedServer returns the bucket of a server's limit. A new one is filled only from a time on, because until then other
// VMs may still request tokens from the previous owner. The caller holds the mutex.
func (t *Tokens) ownedServer(k ownedServerKey, filledFrom, now time.Time) *ownedServer {
	o, found := t.ownedServers[k]
	if !found {
		maps.DeleteFunc(t.ownedServers, func(_ ownedServerKey, v *ownedServer) bool { return now.Sub(v.usedAt) > unusedRetention })
		o = &ownedServer{bucket: psrate.NewBucket(filledFrom)}
		t.ownedServers[k] = o
	}
	o.usedAt = now
	return o
}
