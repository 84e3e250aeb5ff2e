// Package psmutation changes JSON documents at random, for tests of decoders.
package psmutation

import (
	"bytes"
	"math/rand/v2"
)

// oddValues replace parts of a JSON document: the ends of ranges, other types and nesting.
var oddValues = []string{
	"0", "-1", "1e400", "1e-400", "9223372036854775807", "9223372036854775808", "-9223372036854775808", "18446744073709551615", "0.5",
	"null", "true", `""`, `"x"`, "[]", "{}", "[[[[[[[[]]]]]]]]", `"\u0000"`, `"10.0.0.9:0"`, "NaN", "1,", ",", "}", "]",
}

// Mutate returns a copy of a JSON document with some random changes of bytes and values.
func Mutate(r *rand.Rand, document []byte) []byte {
	b := bytes.Clone(document)
	for range 1 + r.IntN(3) {
		at := r.IntN(len(b))
		switch r.IntN(4) {
		case 0:
			b[at] = byte(r.IntN(256))
		case 1:
			b = replaceValue(b, at, oddValues[r.IntN(len(oddValues))])
		case 2:
			b = append(b[:at:at], b[min(len(b), at+1+r.IntN(8)):]...)
		default:
			end := min(len(b), at+1+r.IntN(40))
			b = append(b[:end:end], b[at:]...)
		}
		if len(b) == 0 {
			return b
		}
	}
	return b
}

// replaceValue replaces the value of the first member that begins at or after a position.
func replaceValue(b []byte, at int, value string) []byte {
	colon := bytes.IndexByte(b[at:], ':')
	if colon < 0 {
		return b
	}
	begin := at + colon + 1
	end := bytes.IndexAny(b[begin:], ",}]")
	if end < 0 {
		return b
	}
	return append(append(b[:begin:begin], value...), b[begin+end:]...)
}
