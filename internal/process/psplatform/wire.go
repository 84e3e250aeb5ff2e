package psplatform

// Paths of the HTTP/JSON protocol between [Client] and the platform stand-in.
const (
	PathRead     = "/table/read"
	PathScan     = "/table/scan"
	PathCommit   = "/table/commit"
	PathObjects  = "/objects/"
	PathMachines = "/machines"
)

// ReadRequest asks for rows by key.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest asks for rows by prefix.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsResponse carries rows.
type RowsResponse struct {
	Rows []Row `json:"rows"`
}

// CommitResponse carries a commit's end.
type CommitResponse struct {
	// Revision is that of the commit if it was done.
	Revision uint64 `json:"revision"`
	// Refused is the row that failed a condition.
	Refused *Row `json:"refused,omitempty"`
}

// MachinesResponse carries the platform's list.
type MachinesResponse struct {
	Machines []Machine `json:"machines"`
	// AgeMillis is the list's age in milliseconds.
	AgeMillis int64 `json:"ageMillis"`
}
