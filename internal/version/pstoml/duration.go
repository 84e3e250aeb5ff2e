package pstoml

import (
	"time"

	"github.com/pkg/errors"
)

// Duration is a span that a file writes as text, such as "2s".
type Duration struct {
	time.Duration
}

// UnmarshalText reads a span of 0 or more.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return errors.Errorf("%q is no span such as 2s or 250ms", text)
	}
	d.Duration = v
	return nil
}
