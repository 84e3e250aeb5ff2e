package psversion

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
	"persimmonstep/internal/version/pstoml"
)

// commitTries bounds the tries of an apply's commit whose end is unknown.
const commitTries = 3

// Change is what an operator asks for.
type Change struct {
	// OperationID makes the apply idempotent.
	OperationID string
	// Author names the operator.
	Author string
	// Base is the version that the operator looked at; 0 takes the latest.
	Base uint64
	// Put holds the documents to put in, by file.
	Put map[string]string
	// Remove names the documents to take out.
	Remove []psdoc.Name
}

// ConflictError says that another apply came first and nothing was changed.
type ConflictError struct {
	// Winner is the version that is in the way.
	Winner Head
}

// Error names the winner.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d by %s (operation %s) came first", e.Winner.Version, e.Winner.Author, e.Winner.OperationID)
}

// Store reads and writes versions through the platform.
type Store struct {
	// Platform holds the versions.
	Platform psplatform.Platform
	// Now gives the wall clock time.
	Now func() time.Time
}

// Latest returns the latest version.
func (s *Store) Latest(ctx context.Context) (Head, error) {
	h, _, err := s.head(ctx)
	return h, err
}

// head returns the latest version and its row.
func (s *Store) head(ctx context.Context) (Head, psplatform.Row, error) {
	rows, err := s.Platform.Read(ctx, headKey)
	if err != nil {
		return Head{}, psplatform.Row{}, errors.Wrap(err, "read the configuration head")
	}
	var h Head
	if rows[0].Revision == 0 {
		return h, rows[0], nil
	}
	return h, rows[0], errors.Wrap(json.Unmarshal(rows[0].Value, &h), "decode the configuration head")
}

// Load returns the content of a version.
func (s *Store) Load(ctx context.Context, h Head) (*Content, error) {
	if h.Version == 0 {
		return &Content{}, nil
	}
	data, err := s.Platform.Get(ctx, h.Object)
	if err != nil {
		return nil, errors.Wrap(err, "read the configuration's content")
	}
	c := &Content{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, errors.Wrap(err, "decode the configuration's content")
	}
	if c.Version != h.Version {
		return nil, errors.Errorf("object %q holds version %d, not %d", h.Object, c.Version, h.Version)
	}
	return c, nil
}

// History returns at most limit versions, the newest first.
func (s *Store) History(ctx context.Context, limit int) ([]Head, error) {
	latest, _, err := s.head(ctx)
	if err != nil {
		return nil, err
	}
	var keys []string
	for v := latest.Version; v > 0 && len(keys) < limit; v-- {
		keys = append(keys, historyKey(v))
	}
	rows, err := s.Platform.Read(ctx, keys...)
	if err != nil {
		return nil, errors.Wrap(err, "read the configuration's history")
	}
	out := make([]Head, 0, len(rows))
	for _, r := range rows {
		var h Head
		if err := json.Unmarshal(r.Value, &h); err != nil {
			return nil, errors.Wrapf(err, "decode history row %q", r.Key)
		}
		out = append(out, h)
	}
	return out, nil
}

// Apply makes the next version. Its error is of type pstoml.Findings where the merged
// configuration has faults, *ConflictError where another apply came first, and for which
// psplatform.IsUnknown holds where the outcome could not be found out.
func (s *Store) Apply(ctx context.Context, c Change) (Head, error) {
	// The operation is looked up first: if it is done, the head is not older than it.
	done, found, err := s.operation(ctx, c.OperationID)
	if err != nil || found {
		return done, err
	}
	latest, row, err := s.head(ctx)
	if err != nil {
		return Head{}, err
	}
	if c.Base != 0 && c.Base != latest.Version {
		return Head{}, &ConflictError{Winner: latest}
	}
	old, err := s.Load(ctx, latest)
	if err != nil {
		return Head{}, err
	}
	next, changed, findings := Merge(old, c)
	if len(findings) > 0 {
		return Head{}, findings
	}
	return s.commit(ctx, row, next, Head{
		Version: next.Version, OperationID: c.OperationID, Author: c.Author, Time: s.Now(),
		Changed: changed, Object: objectName(next.Version, c.OperationID),
	})
}

func (s *Store) commit(ctx context.Context, row psplatform.Row, next *Content, h Head) (Head, error) {
	content, err := json.Marshal(next)
	if err != nil {
		return Head{}, errors.Wrap(err, "encode the configuration")
	}
	if err := s.Platform.Put(ctx, h.Object, content); err != nil {
		return Head{}, errors.Wrap(err, "write the configuration's content")
	}
	value, err := json.Marshal(h)
	if err != nil {
		return Head{}, errors.Wrap(err, "encode the configuration head")
	}
	t := psplatform.Transaction{
		Conditions: []psplatform.Condition{{Key: headKey, Revision: row.Revision}, {Key: operationKey(h.OperationID)}},
		Writes: []psplatform.Write{
			{Key: headKey, Value: value}, {Key: historyKey(h.Version), Value: value}, {Key: operationKey(h.OperationID), Value: value},
		},
	}
	// The conditions let the transaction take effect once, so it may be sent again.
	doubtful := false
	for n := 1; ; n++ {
		_, err = s.Platform.Commit(ctx, t)
		if err == nil {
			return h, nil
		}
		doubtful = doubtful || psplatform.IsUnknown(err)
		out, err := s.settle(ctx, h, err)
		var conflict *ConflictError
		switch {
		case err == nil || errors.As(err, &conflict):
			return out, err
		case !doubtful:
			return Head{}, err
		case n == commitTries:
			return Head{}, &psplatform.UnknownError{Cause: err}
		}
	}
}

// operation finds the version that an operation made.
func (s *Store) operation(ctx context.Context, id string) (Head, bool, error) {
	rows, err := s.Platform.Read(ctx, operationKey(id))
	if err != nil {
		return Head{}, false, errors.Wrap(err, "look up the operation")
	}
	return decodeHead(rows[0])
}

func decodeHead(r psplatform.Row) (Head, bool, error) {
	if r.Revision == 0 {
		return Head{}, false, nil
	}
	var h Head
	err := json.Unmarshal(r.Value, &h)
	return h, err == nil, errors.Wrapf(err, "decode %q", r.Key)
}

// settle finds out how a commit ended that was refused or whose answer was lost. Both rows
// are read together, so that no other apply can come between them.
func (s *Store) settle(ctx context.Context, h Head, cause error) (Head, error) {
	if !psplatform.IsRefused(cause) && !psplatform.IsUnknown(cause) {
		return Head{}, cause
	}
	rows, err := s.Platform.Read(ctx, operationKey(h.OperationID), headKey)
	if err != nil {
		return Head{}, errors.Wrap(err, "settle an apply")
	}
	if done, found, err := decodeHead(rows[0]); err != nil || found {
		return done, err
	}
	latest, _, err := decodeHead(rows[1])
	if err != nil {
		return Head{}, err
	}
	if latest.Version >= h.Version {
		return Head{}, &ConflictError{Winner: latest}
	}
	return Head{}, cause
}

// Merge carries out a change on a content and checks the outcome as a whole.
func Merge(old *Content, c Change) (*Content, []psdoc.Name, pstoml.Findings) {
	next := &Content{Version: old.Version + 1, Documents: maps.Clone(old.Documents)}
	if next.Documents == nil {
		next.Documents = make(map[psdoc.Name]string)
	}
	var findings pstoml.Findings
	var changed []psdoc.Name
	files := make(map[psdoc.Name]string)
	for _, file := range slices.Sorted(maps.Keys(c.Put)) {
		d, faults := psdoc.Parse(file, []byte(c.Put[file]))
		findings = append(findings, faults...)
		if d == nil || d.Document == "" {
			continue
		}
		if first, found := files[d.Document]; found {
			findings = append(findings, d.Finding("document", fmt.Sprintf("document %q is also in %s", d.Document, first)))
		}
		files[d.Document] = file
		next.Documents[d.Document] = c.Put[file]
		changed = append(changed, d.Document)
	}
	for _, n := range c.Remove {
		if _, found := next.Documents[n]; !found {
			findings = append(findings, pstoml.Finding{File: string(n), Line: 1, Column: 1, Message: "no such document"})
		}
		delete(next.Documents, n)
		changed = append(changed, n)
	}
	_, faults := next.compile(files)
	findings = append(findings, onlyCross(findings, faults)...)
	findings.Sort()
	return next, changed, findings
}

// onlyCross leaves out the faults that were found already.
func onlyCross(known, faults pstoml.Findings) pstoml.Findings {
	return slices.DeleteFunc(faults, func(f pstoml.Finding) bool { return slices.Contains(known, f) })
}

// Compile makes the plan of a content.
func (c *Content) Compile() (*psplan.Plan, error) {
	p, findings := c.compile(nil)
	if len(findings) > 0 {
		return nil, findings
	}
	return p, nil
}

// compile parses all documents in name order and compiles them; files gives the file
// names to use in findings.
func (c *Content) compile(files map[psdoc.Name]string) (*psplan.Plan, pstoml.Findings) {
	var documents []*psdoc.Document
	var findings pstoml.Findings
	for _, n := range slices.Sorted(maps.Keys(c.Documents)) {
		file, found := files[n]
		if !found {
			file = string(n)
		}
		d, faults := psdoc.Parse(file, []byte(c.Documents[n]))
		findings = append(findings, faults...)
		if d != nil {
			documents = append(documents, d)
		}
	}
	p, faults := psplan.Compile(c.Version, documents)
	return p, append(findings, faults...)
}
