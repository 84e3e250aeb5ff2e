package pswatch

import "time"

// Bounds are the times of a deployment on which it depends how old a VM's knowledge of the servers may be.
type Bounds struct {
	// Contact is the time after a disruption from which on the bounds apply again.
	Contact time.Duration
	// Drain is the time within which requests to a server that leaves must stop.
	Drain time.Duration
	// Heartbeat is the interval at which servers renew their entries.
	Heartbeat time.Duration
}

// Delay is the longest time until a VM learns of a change of the servers in one way.
type Delay struct {
	// Way names the way, and what goes wrong in it.
	Way string
	// Longest is the sum of all waits.
	Longest time.Duration
	// Bound is the time that the deployment allows.
	Bound time.Duration
}

// Exceeded reports whether the deployment's bound can't be kept.
func (d Delay) Exceeded() bool { return d.Longest > d.Bound }

// Delays returns the longest delays in all ways, in small fleets and in those with relays. After a disruption they count
// from its end: within the contact time a VM must know what it has missed, and changes that are acknowledged after that
// have the drain time in addition.
func Delays(b Bounds) []Delay {
	dropped := pollWait(b.Contact, b.Heartbeat) + responseTimeout + readSlack
	missing := responseTimeout + readSlack + reregistrationWindow + readSlack
	lostNotice := serversPollInterval + readSlack + serversPollInterval + minPollWait + readSlack
	silentRelay := relayTimeout + relayNoticeWait + readSlack
	return []Delay{
		{"poll", serversPollInterval + readSlack, b.Drain},
		{"poll that the store drops", dropped, b.Contact},
		{"entry that is missing after an outage", missing, b.Contact + b.Drain},
		{"notice of the relay", serversPollInterval + readSlack, b.Drain},
		{"notice that is lost", lostNotice, b.Drain},
		{"relay that falls silent", silentRelay, b.Drain},
		{"poll of the relay that the store drops", relayPollWait + responseTimeout + readSlack, b.Contact},
	}
}

// pollWait returns how long a call waits at the store for changes in a small fleet. A call may stay unanswered although
// the store serves later ones, so a VM must abandon it and read the table before the contact time ends, and before
// entries may have expired.
func pollWait(contact, heartbeat time.Duration) time.Duration {
	beforeContact := contact - responseTimeout - readSlack
	beforeExpiry := expiryHeartbeats*heartbeat - serversPollInterval - responseTimeout - readSlack
	return max(minPollWait, min(beforeContact, max(relayPollWait, beforeExpiry)))
}
