//go:build race

package psblock_test

const raceEnabled = true
