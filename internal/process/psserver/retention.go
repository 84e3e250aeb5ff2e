package psserver

const (
	// lowRecall and highRecall are the recalls between which the kept part stays as it is.
	lowRecall  = 0.65
	highRecall = 0.85
	// keepShrink multiplies the kept part with each object that was no longer held, and
	// keepGrowth is added to it with each one that was.
	keepShrink = 0.96
	keepGrowth = 0.004
	// minKeep is the least part that a server is taken to hold.
	minKeep = 0.15
)

// Keep is the part of its objects that a server can hold. The zero value holds all.
type Keep struct {
	missing float64
}

// Part returns the kept part.
func (k *Keep) Part() float64 { return 1 - k.missing }

// Note takes in whether the server held an object, at a recall.
func (k *Keep) Note(held bool, recall float64) {
	part := k.Part()
	switch {
	case !held && recall < lowRecall:
		part = max(minKeep, part*keepShrink)
	case held && recall > highRecall:
		part = min(1, part+keepGrowth)
	}
	k.missing = 1 - part
}
