// Package psplatform speaks to the platform's table service, object store and VM list.
//
// Whatever must outlive a VM goes through these three narrow interfaces. Each call ends in
// one of three ways: done, refused, or unknown. A refused commit certainly changed nothing.
// An unknown commit may have taken effect, and its caller must read again to find out.
package psplatform

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Row is one row of the table.
type Row struct {
	// Key names the row.
	Key string `json:"key"`
	// Value is the row's content.
	Value []byte `json:"value"`
	// Revision grows with each write to the table; 0 is that of an absent row.
	Revision uint64 `json:"revision"`
}

// Condition demands the current revision of a row; 0 demands that the row is absent.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Write puts or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is a set of writes that take effect together if all conditions hold.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Read returns the rows of the keys in the same order; an absent row has revision 0.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns at most limit rows with the prefix whose keys follow after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit carries out a transaction and returns its revision. Its error is a
	// *RefusedError where nothing changed, an *UnknownError where the end is not known.
	Commit(ctx context.Context, t Transaction) (uint64, error)
}

// Objects is the platform's object store. An object never changes once it is put.
type Objects interface {
	// Put stores an object.
	Put(ctx context.Context, name string, content []byte) error
	// Get returns an object, or an error for which IsNotFound holds.
	Get(ctx context.Context, name string) ([]byte, error)
}

// MachineState is what the platform says of a VM or backend server.
type MachineState string

const (
	// MachineLive marks a running machine.
	MachineLive MachineState = "live"
	// MachineLeaving marks a machine that will be stopped.
	MachineLeaving MachineState = "leaving"
)

// Machine is an entry of the platform's list.
type Machine struct {
	Name  string       `json:"name"`
	State MachineState `json:"state"`
}

// List is the platform's lagging list of live and leaving machines.
type List interface {
	// Machines returns the list and its age.
	Machines(ctx context.Context) ([]Machine, time.Duration, error)
}

// Platform is all that the platform gives.
type Platform interface {
	Table
	Objects
	List
}

// RefusedError says that a commit changed nothing because a condition failed.
type RefusedError struct {
	// Current is the row whose revision differs from the demanded one.
	Current Row
}

// Error names the row.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("row %q has revision %d", e.Current.Key, e.Current.Revision)
}

// UnavailableError says that the platform did not carry out a call and certainly changed nothing.
type UnavailableError struct {
	Cause error
}

// Error gives the cause.
func (e *UnavailableError) Error() string {
	return "platform is unavailable: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// OutageError says that the platform has not answered for a while and that a call was
// therefore not even tried. It comes as the cause of an *UnavailableError.
type OutageError struct {
	// Until is when the platform will be tried again.
	Until time.Time
}

// Error says until when calls are not tried.
func (e *OutageError) Error() string {
	return "no call is tried until " + e.Until.Format(time.RFC3339Nano)
}

// UnknownError says that a commit may or may not have taken effect.
type UnknownError struct {
	Cause error
}

// Error gives the cause.
func (e *UnknownError) Error() string {
	return "outcome is unknown: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// NotFoundError says that an object is absent.
type NotFoundError struct {
	Name string
}

// Error names the object.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %q does not exist", e.Name)
}

// IsRefused reports whether a commit was refused by a condition.
func IsRefused(err error) bool {
	var e *RefusedError
	return errors.As(err, &e)
}

// IsUnknown reports whether a commit's outcome is unknown.
func IsUnknown(err error) bool {
	var e *UnknownError
	return errors.As(err, &e)
}

// IsOutage reports whether a call was not tried because the platform is down.
func IsOutage(err error) bool {
	var e *OutageError
	return errors.As(err, &e)
}

// IsNotFound reports whether an object is absent.
func IsNotFound(err error) bool {
	var e *NotFoundError
	return errors.As(err, &e)
}
