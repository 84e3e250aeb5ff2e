package pstoml

import (
	"time"

	"github.com/pkg/errors"
)

// Duration is a duration written as text, such as "2s".
type Duration struct {
	time.Duration
}

// UnmarshalText parses a duration of 0 or more.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return errors.Errorf("invalid duration %q: want 0 or more, such as 2s or 250ms", text)
	}
	d.Duration = v
	return nil
}
