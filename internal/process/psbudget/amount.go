package psbudget

import (
	"encoding/json"
	"math"

	"github.com/pkg/errors"
)

// Amount is a part of a workspace's budget.
type Amount struct {
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Burst is in requests.
	Burst float64 `json:"burst"`
}

// dust is an amount, in requests or requests per second, that is not worth a message, and
// by which sums of parts may miss the whole.
const dust = 1e-6

// UnmarshalJSON refuses negative amounts.
func (a *Amount) UnmarshalJSON(data []byte) error {
	type plain Amount
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return errors.Wrap(err, "decode an amount")
	}
	if p.Rate < 0 || p.Burst < 0 {
		return errors.New("an amount is negative")
	}
	*a = Amount(p)
	return nil
}

func (a Amount) plus(b Amount) Amount {
	return Amount{Rate: a.Rate + b.Rate, Burst: a.Burst + b.Burst}
}

// less returns a without b, and nothing below zero.
func (a Amount) less(b Amount) Amount {
	return Amount{Rate: math.Max(0, a.Rate-b.Rate), Burst: math.Max(0, a.Burst-b.Burst)}
}

func (a Amount) times(f float64) Amount {
	return Amount{Rate: a.Rate * f, Burst: a.Burst * f}
}

func (a Amount) smaller(b Amount) Amount {
	return Amount{Rate: math.Min(a.Rate, b.Rate), Burst: math.Min(a.Burst, b.Burst)}
}

func (a Amount) larger(b Amount) Amount {
	return Amount{Rate: math.Max(a.Rate, b.Rate), Burst: math.Max(a.Burst, b.Burst)}
}

// empty reports whether the amount is not worth a message.
func (a Amount) empty() bool {
	return a.Rate < dust && a.Burst < dust
}
