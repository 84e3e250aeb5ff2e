package psrate

import "time"

// aheadReserve is the fraction of a full bucket that is left to requests that wait for their token.
const aheadReserve = 0.5

// TakeAhead takes a token for a request that hasn't arrived yet, so that it need not wait for one. The holder may use
// the token until a time. As long as the bucket is at least half full, holding tokens ahead costs others nothing; below
// that none is granted. Tokens that are held count toward the capacity, so that the sum of those in the bucket and those
// held never exceeds it.
func (b *Bucket) TakeAhead(l Limit, share float64, until, now time.Time) bool {
	if l.Rate <= 0 {
		return false
	}
	b.Refill(l, share, now)
	if b.tokens < wholeToken+aheadReserve*(capacity(l, share)-1) {
		return false
	}
	b.tokens--
	b.ahead = append(b.ahead, until)
	return true
}

// SettleAhead records that a token that was taken ahead is no longer held. An unused one goes back to the bucket.
func (b *Bucket) SettleAhead(unused bool) {
	if len(b.ahead) == 0 {
		// The holder settles a token that had expired.
		return
	}
	b.ahead = b.ahead[1:]
	if unused {
		b.tokens++
	}
}

// expireAhead forgets the tokens that can't be used any more. Whether they were used isn't known, so they don't return.
func (b *Bucket) expireAhead(now time.Time) {
	for len(b.ahead) > 0 && !b.ahead[0].After(now) {
		b.ahead = b.ahead[1:]
	}
}
