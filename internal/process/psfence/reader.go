package psfence

import (
	"context"
	"strings"
	"sync"

	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/version/psdoc"
)

// scanLimit is the number of rows of one scan.
const scanLimit = 1000

// reader reads the adoption rows once for all who ask meanwhile.
type reader struct {
	table psplatform.Table

	mutex sync.Mutex
	// next is the read that has not begun; whoever asks before it begins may share it.
	next *scan
	// running lets one read go on at a time.
	running sync.Mutex
}

// scan is one read of all rows.
type scan struct {
	once  sync.Once
	names []psdoc.Name
	err   error
}

// adopted lists the VMs whose part is adopted, by a read that begins after the call.
func (r *reader) adopted(ctx context.Context) ([]psdoc.Name, error) {
	r.mutex.Lock()
	if r.next == nil {
		r.next = &scan{}
	}
	s := r.next
	r.mutex.Unlock()
	s.once.Do(func() {
		r.running.Lock()
		defer r.running.Unlock()
		r.mutex.Lock()
		r.next = nil
		r.mutex.Unlock()
		s.names, s.err = r.scan(ctx)
	})
	return s.names, s.err
}

func (r *reader) scan(ctx context.Context) ([]psdoc.Name, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	var out []psdoc.Name
	after := ""
	for {
		rows, err := r.table.Scan(ctx, rowPrefix, after, scanLimit)
		if err != nil {
			return nil, err
		}
		for _, v := range rows {
			out = append(out, psdoc.Name(strings.TrimPrefix(v.Key, rowPrefix)))
			after = v.Key
		}
		if len(rows) < scanLimit {
			return out, nil
		}
	}
}
