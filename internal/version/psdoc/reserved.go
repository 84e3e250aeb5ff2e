package psdoc

const (
	// IssuedKeys names the document that holds the keys made by "key issue".
	IssuedKeys Name = "issued-keys"
	// OrderedDrains names the document that holds the drains ordered by "drain".
	OrderedDrains Name = "ordered-drains"
)

// Reserved reports whether only commands, and no operator's file, may write the document.
func Reserved(n Name) bool {
	return n == IssuedKeys || n == OrderedDrains
}
