// Package psversion keeps configuration versions.
//
// The table's row config/head names the latest version, and every version has a history
// row and an object with its documents. An apply writes the object first and then moves
// the head from N to N+1 in one transaction, so that a version is applied as a whole or
// not at all and racing operators cannot both succeed. Versions only grow.
package psversion

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/version/psdoc"
)

const (
	headKey       = "config/head"
	historyPrefix = "config/history/"
	// operationPrefix names the rows that lead from an operation's id to its version.
	operationPrefix = "config/operation/"
)

// Head describes a configuration version.
type Head struct {
	// Version counts from 1; 0 says that nothing was applied yet.
	Version uint64 `json:"version"`
	// OperationID identifies the apply that made the version.
	OperationID string `json:"operationId"`
	// Author names the operator.
	Author string `json:"author"`
	// Time is when the version was applied, by the clock of the applying VM.
	Time time.Time `json:"time"`
	// Changed names the documents that the apply replaced or removed.
	Changed []psdoc.Name `json:"changed"`
	// Object names the object that holds the content.
	Object string `json:"object"`
}

// UnmarshalJSON reads and checks a head.
func (h *Head) UnmarshalJSON(data []byte) error {
	type plain Head
	if err := json.Unmarshal(data, (*plain)(h)); err != nil {
		return err
	}
	if h.Version > 0 && (h.OperationID == "" || h.Object == "") {
		return errors.New("a configuration head needs operationId and object")
	}
	return nil
}

// Content is the whole configuration of one version.
type Content struct {
	// Version is the configuration version.
	Version uint64 `json:"version"`
	// Documents holds the text of each document by name.
	Documents map[psdoc.Name]string `json:"documents"`
}

func historyKey(version uint64) string {
	return fmt.Sprintf("%s%020d", historyPrefix, version)
}

func operationKey(id string) string {
	return operationPrefix + id
}

func objectName(version uint64, operationID string) string {
	return fmt.Sprintf("config-%d-%s", version, operationID)
}
