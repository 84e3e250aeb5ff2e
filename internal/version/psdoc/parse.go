package psdoc

import "persimmonstep/internal/version/pstoml"

// Parse reads a document from a file's content and returns every finding.
// The document is nil only if the file is not TOML at all.
func Parse(file string, data []byte) (*Document, pstoml.Findings) {
	d, source, findings := pstoml.Decode[Document](file, data)
	if source == nil {
		return nil, findings
	}
	d.source = source
	d.text = string(data)
	findings = append(findings, d.check()...)
	findings.Sort()
	return &d, findings
}

// Finding makes a finding for a path of the document such as "servers[2].pool".
func (d *Document) Finding(path, message string) pstoml.Finding {
	return d.source.Finding(path, message)
}

// Faulty reports whether the path's value could not be decoded and has its finding already.
func (d *Document) Faulty(path string) bool {
	return d.source.Faulty(path)
}

// File names the file that the document was read from.
func (d *Document) File() string {
	return d.source.File()
}

// ForgetPositions frees the memory of where each value stands, for a document without
// findings that is kept. Later findings name its first line.
func (d *Document) ForgetPositions() {
	d.source = pstoml.NewSource(d.File())
}

// Text returns the document as it was written.
func (d *Document) Text() string {
	return d.text
}
