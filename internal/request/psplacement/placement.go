// Package psplacement chooses the backend server that runs a request, by cache affinity and expected latency.
//
// It answers this load pattern: at peak, requests that miss the servers' caches need more than all
// slots, while the same requests leave slots free on servers that have recently handled their
// objects. Each object therefore has a stable ranking of servers, which all VMs compute alike by
// rendezvous hashing. A request leaves the primary server, the first in its object's ranking, only if
// a later one, a fallback server, is expected to finish it sooner: the primary server is busy, slow,
// failing or far away.
//
// The package does no I/O and reads no clock.
package psplacement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonstep/internal/request/psspeed"
)

const (
	// rankCost is the cost of a server per rank below the primary server. It keeps an object on few
	// servers while several are idle.
	rankCost = 8 * time.Millisecond
	// distinctRanks is the number of first ranks that are distinguished; all later servers share one rank.
	distinctRanks = 5
	// roundTripDivisor reduces the weight of the round-trip time: within the target latency, a cached
	// object counts for more than a short network path.
	roundTripDivisor = 3
	// failureCostTargets is the cost of a certain failure, in target latencies.
	failureCostTargets = 8
	// maxSilentTargets is how long a server with requests may send no response before it is avoided, and
	// silentCostTargets the cost of a server that is avoided, both in target latencies.
	maxSilentTargets  = 3
	silentCostTargets = 10
	// outlierCostTargets is the cost of a server that is slower than the others, in target latencies.
	outlierCostTargets = 5
)

const (
	// unsentHitRate bounds the probability that a fallback server has an object cached that this VM didn't
	// send there.
	unsentHitRate = 0.2
	// surplusCostTargets is the cost of a server whose cache can't hold one more object, in target
	// latencies, and surplusUtilization the slot utilization below which it gets the object all the same.
	surplusCostTargets = 5
	surplusUtilization = 0.3
	// pollutionFactor is how many times the extra time of a cache miss counts on a fallback server. The
	// miss evicts another object there, whose next run then takes longer as well.
	pollutionFactor = 3
)

// Candidate is a server that is allowed to run the request.
type Candidate struct {
	// Load is the number of requests at the server, Slots how many it runs at once.
	Load  float64
	Slots int
	// Slowness is the ratio of measured to expected time, FailureRate the fraction in 0..1 of requests that fail.
	Slowness    float64
	FailureRate float64
	// Speed is how fast the server's machine is at the moment.
	Speed psspeed.Speed
	// SilentFor is how long requests at the server have been waiting without any response.
	SilentFor time.Duration
	// Outlier reports whether the server is slower than the others of its service.
	Outlier bool
	// Cold reports whether the server is in its cold start. It gets only a few requests, so it doesn't
	// count in the means over all candidates.
	Cold bool
	// ObjectSent reports whether this VM sent the object to the server recently.
	ObjectSent bool
	// PrimaryHitRate and FallbackHitRate are the cache hit rates for objects that were sent to the server
	// before: those of which it is the primary server, and the others.
	PrimaryHitRate, FallbackHitRate float64
	// CacheableFraction is the fraction of its own objects that the server's cache can hold. Below 1 the
	// server should get no others, as then none stays cached long enough to be of use.
	CacheableFraction float64
	// Score ranks the servers of an object; the highest comes first.
	Score uint64
	// Overflow reports whether the server belongs to the overflow, which has a ranking of its own. The
	// object goes to the first overflow server while the other servers have no capacity, so that it is
	// cached there too.
	Overflow bool
	// RoundTrip is the network round-trip time, and TransferCost the latency that is accepted to avoid
	// sending the body there.
	RoundTrip    time.Duration
	TransferCost time.Duration
	// TokenTime is the time to request a token before the request can be sent; 0 if it needs none.
	TokenTime time.Duration
}

// Request describes the request to be placed.
type Request struct {
	// Object identifies what the request is about.
	Object uint64
	// Epoch changes from time to time, so that the surplus objects change too.
	Epoch uint64
	// CachedRun and UncachedRun are the run times on a server that has the object cached, and on one that hasn't.
	CachedRun, UncachedRun time.Duration
	// MeanRun is the mean run time of the service's other requests.
	MeanRun time.Duration
	// Target is the latency objective.
	Target time.Duration
}

// Choice is the chosen server and the latency that is expected of it.
type Choice struct {
	// Index is the candidate's position in the list.
	Index int
	// Rank is the server's rank for the object, 0 for the primary server; only the first ones are distinguished.
	Rank int
	// Wait, Run, RoundTrip and TokenTime add up to the expected latency.
	Wait, Run, RoundTrip, TokenTime time.Duration
	// Surplus reports whether the server's cache can't hold the object in addition to those that it handles.
	Surplus bool
	// NominalLatency is the latency expected of a server that is as fast as others, on a machine of its usual speed.
	NominalLatency time.Duration
	// LikelyCached reports whether the server probably has the object cached, because it was sent there.
	LikelyCached bool
	// MeanWait is the mean wait at all candidates that aren't cold, and MeanRoundTrip their mean round-trip time.
	MeanWait, MeanRoundTrip time.Duration
}

// ExpectedLatency returns the time until the response.
func (c Choice) ExpectedLatency() time.Duration { return c.Wait + c.Run + c.RoundTrip + c.TokenTime }

// Score returns a server's rendezvous hash for an object.
func Score(object uint64, server string) uint64 {
	return mix(xxhash.Sum64String(server) ^ object)
}

// mix spreads close values, as the finalizer of a 64-bit hash does.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// PreferNear ranks the near servers of an object before all others and keeps the ranking within both groups.
func PreferNear(score uint64, near bool) uint64 {
	score >>= 1
	if near {
		score |= 1 << 63
	}
	return score
}

// Choose returns the candidate with the least cost. The list must not be empty.
func Choose(list []Candidate, r Request) Choice {
	if len(list) == 0 {
		panic("psplacement: choose server: no candidates")
	}
	ranks := newRankings(list)
	best, bestCost := Choice{}, time.Duration(-1)
	var waits, roundTrips time.Duration
	counted := 0
	for i := range list {
		c, cost := evaluate(&list[i], ranks.rank(&list[i]), r)
		if !list[i].Cold {
			waits += c.Wait
			roundTrips += c.RoundTrip
			counted++
		}
		if bestCost < 0 || cost < bestCost {
			best, bestCost = c, cost
			best.Index = i
		}
	}
	meanWait := waits / time.Duration(max(1, counted))
	best = spare(list, ranks, best, meanWait, r)
	best.MeanWait = meanWait
	best.MeanRoundTrip = roundTrips / time.Duration(max(1, counted))
	return best
}

// Ranked is a candidate with its expected latency and its cost.
type Ranked struct {
	Choice
	// Cost is the expected latency, weighted and with penalties; the candidate with the least cost is chosen.
	Cost time.Duration
}

// Rank returns all candidates in ascending order of their costs.
func Rank(list []Candidate, r Request) []Ranked {
	ranks := newRankings(list)
	all := make([]Ranked, len(list))
	for i := range list {
		c, cost := evaluate(&list[i], ranks.rank(&list[i]), r)
		c.Index = i
		all[i] = Ranked{c, cost}
	}
	slices.SortStableFunc(all, func(a, b Ranked) int { return cmp.Compare(a.Cost, b.Cost) })
	return all
}

// rankings are the rankings of an object's servers: the regular one, and that of the overflow.
type rankings struct {
	regular, overflow ranking
}

func newRankings(list []Candidate) *rankings {
	r := &rankings{}
	for i := range list {
		r.rankingOf(&list[i]).insert(list[i].Score)
	}
	return r
}

func (r *rankings) rankingOf(c *Candidate) *ranking {
	if c.Overflow {
		return &r.overflow
	}
	return &r.regular
}

func (r *rankings) rank(c *Candidate) int { return r.rankingOf(c).rank(c.Score) }

// ranking holds the highest scores in descending order.
type ranking [distinctRanks]uint64

func (r *ranking) insert(score uint64) {
	for i := range r {
		if score > r[i] {
			score, r[i] = r[i], score
		}
	}
}

// rank returns the rank of a score, 0 for the highest. All scores below those held share the last rank.
func (r *ranking) rank(score uint64) int {
	for i, v := range r {
		if score >= v {
			return i
		}
	}
	return distinctRanks
}

// evaluate returns the latency that is expected of a candidate, and its cost.
func evaluate(c *Candidate, rank int, r Request) (Choice, time.Duration) {
	slowness := max(1, c.Slowness)
	probability := hitProbability(c, rank)
	run := probability*float64(r.CachedRun) + (1-probability)*float64(r.UncachedRun)
	wait := max(0, c.Load+1-float64(c.Slots)) / float64(max(1, c.Slots)) * float64(r.MeanRun)
	expectedWait := time.Duration(slowness * wait * c.Speed.Average(0, time.Duration(wait)))
	expectedRun := time.Duration(slowness * run * c.Speed.Average(expectedWait, expectedWait+time.Duration(run)))
	choice := Choice{
		Rank: rank, LikelyCached: c.ObjectSent, Wait: expectedWait, Run: expectedRun, RoundTrip: c.RoundTrip, TokenTime: c.TokenTime,
		NominalLatency: time.Duration(wait+run) + c.RoundTrip, Surplus: surplus(c, rank, r),
	}
	cost := choice.Wait + choice.Run + (c.RoundTrip+c.TokenTime)/roundTripDivisor + c.TransferCost + time.Duration(rank)*rankCost
	if rank > 0 {
		cost += time.Duration((pollutionFactor - 1) * (1 - probability) * float64(r.UncachedRun-r.CachedRun))
	}
	cost += time.Duration(failureCostTargets * c.FailureRate * float64(r.Target))
	if choice.Surplus {
		cost += surplusCostTargets * r.Target
	}
	if c.Outlier {
		cost += outlierCostTargets * r.Target
	}
	if c.SilentFor > maxSilentTargets*r.Target {
		cost += silentCostTargets * r.Target
	}
	return choice, cost
}

// surplus reports whether the server's cache can't hold the object in addition to those that it handles.
// The fraction of its own objects that fits is chosen by a hash of the object and the epoch.
func surplus(c *Candidate, rank int, r Request) bool {
	if c.CacheableFraction >= 1 || c.Load < surplusUtilization*float64(c.Slots) {
		return false
	}
	position := float64(mix(r.Object^r.Epoch)>>32) / (1 << 32)
	return rank > 0 || position >= c.CacheableFraction
}

// hitProbability returns the probability that the server has the object cached. All VMs send an object
// to its primary server, so it is cached there whichever VM sent it last. A server that has just joined
// will have it soon.
func hitProbability(c *Candidate, rank int) float64 {
	switch {
	case rank == 0:
		return c.PrimaryHitRate
	case c.ObjectSent:
		return c.FallbackHitRate
	}
	return min(unsentHitRate, c.FallbackHitRate)
}
