package psclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/version/psdoc"
)

const (
	rowPrefix = "claim/"
	logPrefix = "claimLog/"
	epochKey  = "claimEpoch"
	// maxInlineBytes bounds the body that is kept in the row; a larger one becomes an object.
	maxInlineBytes = 16 << 10
)

// state is that of a claim's row.
type state string

const (
	// stateRunning says that the claiming VM may have dispatched the request.
	stateRunning state = "running"
	// stateReleased says that the request certainly did not run; a repeat may take it over.
	stateReleased state = "released"
	// stateDone says that the answer is recorded.
	stateDone state = "done"
	// stateUnknown says that the request may have run and that nobody will ever know.
	stateUnknown state = "unknown"
)

// UnmarshalText checks the state.
func (s *state) UnmarshalText(text []byte) error {
	switch v := state(text); v {
	case stateRunning, stateReleased, stateDone, stateUnknown:
		*s = v
		return nil
	}
	return errors.Errorf("%q is not a claim state", text)
}

// record is the content of a claim's row.
type record struct {
	Workspace psdoc.Name `json:"workspace"`
	Route     psdoc.Name `json:"route"`
	// Key is the caller's Idempotency-Key.
	Key string `json:"key"`
	// Digest is that of the method, the target and the body.
	Digest psdoc.Digest `json:"digest"`
	// VM and Incarnation name the process that claimed last.
	VM          psdoc.Name `json:"vm"`
	Incarnation string     `json:"incarnation"`
	// Nonce identifies one claiming request.
	Nonce string `json:"nonce"`
	State state  `json:"state"`
	// Epoch is the retention epoch in which the request was claimed.
	Epoch uint64 `json:"epoch"`
	// Answer is the recorded answer; its body is in Object if that is set.
	Answer *Answer `json:"answer,omitempty"`
	Object string  `json:"object,omitempty"`
}

// rowKey names the row of a request. It is a digest, so that a caller's key can be any text.
func rowKey(r Request) string {
	h := sha256.New()
	for _, part := range []string{string(r.Workspace), string(r.Route), r.Key} {
		_, _ = fmt.Fprintf(h, "%d:", len(part))
		_, _ = io.WriteString(h, part)
	}
	return rowPrefix + hex.EncodeToString(h.Sum(nil))
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("psclaim: " + err.Error())
	}
	return data
}

func decode(r psplatform.Row) (record, error) {
	var out record
	err := json.Unmarshal(r.Value, &out)
	return out, errors.Wrapf(err, "decode claim %q", r.Key)
}

// epochRow is the content of the row that counts retention epochs.
type epochRow struct {
	Number uint64 `json:"number"`
}

func decodeEpoch(r psplatform.Row) (uint64, error) {
	if r.Revision == 0 {
		return 0, nil
	}
	var out epochRow
	err := json.Unmarshal(r.Value, &out)
	return out.Number, errors.Wrap(err, "decode the claim epoch")
}

// logKey names the row that lists the claims of one transaction, for the clean-up.
func logKey(epoch uint64, incarnation string, sequence uint64) string {
	return fmt.Sprintf("%s%020d/%s-%d", logPrefix, epoch, incarnation, sequence)
}
