// Package psdecode decodes JSON of the store and of other VMs within a bound of memory.
//
// A document of a few bytes for each element, such as a list of empty objects, takes up to two hundred times its length when
// it is decoded. What a document will take is therefore estimated before it is decoded, and one that takes too much is
// refused. It is not charged to a psbudget.Budget, because nobody else could be evicted for it: each VM reads one such
// document at a time.
package psdecode

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

const (
	// objectBytes is what an object or a list takes: the largest of ours has 290 bytes, and lists are reallocated while they
	// grow. memberBytes is what each further member or element takes.
	objectBytes = 512
	memberBytes = 64
)

// ErrTooLarge reports that a document is longer, or would take more memory, than allowed.
var ErrTooLarge = errors.New("decode document: too large")

// ReadAll reads up to a number of bytes. It fails with [ErrTooLarge] if there are more.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, ErrTooLarge
	}
	return data, err
}

// JSON decodes a document that takes up to a number of bytes in memory. It fails with [ErrTooLarge], before anything is
// decoded, if that is not enough.
func JSON(data []byte, limit int64, v any) error {
	if Size(data) > limit {
		return ErrTooLarge
	}
	return json.Unmarshal(data, v)
}

// Size estimates the number of bytes that a decoded document takes.
func Size(data []byte) int64 {
	size := int64(len(data))
	quoted := false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			size += objectBytes
		case c == ',':
			size += memberBytes
		}
	}
	return size
}
