package psmessage

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// maxReportAge is the highest age of a report in a digest.
const maxReportAge = time.Minute

// ForwardedReport is a report that a VM forwards for another one.
type ForwardedReport struct {
	Report
	// Age is the time since the forwarding VM received the report.
	Age time.Duration `json:"age,omitempty"`
}

// Digest forwards the reports of one failure domain to the VMs of another. In a large fleet VMs
// send reports within their own failure domain only, and digests connect the failure domains.
type Digest struct {
	// FailureDomain is the source of the reports.
	FailureDomain string `json:"failureDomain"`
	// Relayed is set if a VM of the receiver's failure domain forwarded the digest. Relayed digests
	// are not forwarded again.
	Relayed bool              `json:"relayed,omitempty"`
	Reports []ForwardedReport `json:"reports"`
}

// Check validates a decoded digest.
func (d *Digest) Check() error {
	if d.FailureDomain == "" {
		return errors.New("check digest: failure domain is missing")
	}
	for i := range d.Reports {
		if err := d.Reports[i].Check(); err != nil {
			return errors.Wrap(err, "check digest")
		}
	}
	return nil
}

// DropInvalid removes the invalid reports of a decoded digest and returns why the last of them is invalid. It returns an
// error if the digest itself is invalid.
func (d *Digest) DropInvalid() (invalid, err error) {
	d.Reports = slices.DeleteFunc(d.Reports, func(r ForwardedReport) bool {
		failed := r.Check()
		if failed != nil {
			invalid = errors.Wrap(failed, "check digest")
		}
		return failed != nil
	})
	return invalid, d.Check()
}

// Check validates a decoded report and its age.
func (r *ForwardedReport) Check() error {
	if r.Age < 0 || r.Age > maxReportAge {
		return errors.New("check forwarded report: age is out of range")
	}
	return r.Report.Check()
}
