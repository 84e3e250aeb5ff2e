package psguarantee_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const root = "../../.."

var (
	namedTest    = regexp.MustCompile("`((?:Test|Fuzz)[A-Za-z0-9]+)`")
	declaredTest = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Za-z0-9_]+)\(`)
)

// TestPageNamesTestsThatExist checks that docs/PROMISES.md names a test for each guarantee and that the
// named tests exist. It fails if a test is renamed or deleted without the page.
func TestPageNamesTestsThatExist(t *testing.T) {
	declared := make(map[string]bool)
	for _, directory := range []string{"internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, directory), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, m := range declaredTest.FindAllStringSubmatch(string(text), -1) {
				declared[m[1]] = true
			}
			return err
		})
		qt.Assert(t, err, qt.IsNil)
	}
	page, err := os.ReadFile(filepath.Join(root, "docs", "PROMISES.md"))
	qt.Assert(t, err, qt.IsNil)
	for _, line := range strings.Split(string(page), "\n") {
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| ---") || strings.HasPrefix(line, "| promise") {
			continue
		}
		names := namedTest.FindAllStringSubmatch(line, -1)
		qt.Check(t, len(names) > 0, qt.IsTrue, qt.Commentf("no test is named: %s", line))
		for _, m := range names {
			qt.Check(t, declared[m[1]], qt.IsTrue, qt.Commentf("docs/PROMISES.md names %s, which no test file declares", m[1]))
		}
	}
}
