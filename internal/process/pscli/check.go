package pscli

import (
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"

	"persimmonstep/internal/trial/psscenario"
	"persimmonstep/platform"
	"persimmonstep/platform/pssettings"
)

// checkCommand validates files.
type checkCommand struct {
	Settings      []string `type:"existingfile" help:"Settings files of VMs."`
	Configuration []string `type:"existingfile" help:"Configurations as the store holds them (JSON)."`
	Scenarios     []string `arg:"" optional:"" type:"existingfile" help:"Scenarios of experiments (TOML)."`
}

// Run prints the findings of all files. It also prints notes on what a VM would ignore, which are no faults.
func (c *checkCommand) Run(s streams) error {
	if len(c.Settings)+len(c.Configuration)+len(c.Scenarios) == 0 {
		return errors.New("check: no file given")
	}
	var findings []string
	collect := func(files []string, check func(path string) error) {
		for _, f := range files {
			if err := check(f); err != nil {
				findings = append(findings, prefixFileName(f, err))
			}
		}
	}
	collect(c.Settings, checkSettings)
	collect(c.Configuration, func(path string) error { return checkConfiguration(path, s) })
	collect(c.Scenarios, checkScenario)
	if len(findings) > 0 {
		return &exitError{code: ExitFindings, text: strings.Join(findings, "\n")}
	}
	return nil
}

// prefixFileName prefixes each line of an error with the name of the file, unless the line starts with it.
func prefixFileName(file string, err error) string {
	lines := strings.Split(err.Error(), "\n")
	for i, l := range lines {
		if !strings.HasPrefix(l, file) {
			lines[i] = file + ": " + l
		}
	}
	return strings.Join(lines, "\n")
}

func checkSettings(path string) error {
	_, err := pssettings.Read(path)
	return err
}

func checkConfiguration(path string, s streams) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	c, err := platform.DecodeConfiguration(data)
	if err != nil {
		return err
	}
	for _, f := range c.Unknown {
		if _, err := fmt.Fprintf(s.out, "%s: note: %s\n", path, f); err != nil {
			return errors.Wrap(err, "print note")
		}
	}
	var lines []string
	for _, f := range c.Check() {
		lines = append(lines, f.String())
	}
	if len(lines) > 0 {
		return errors.New(strings.Join(lines, "\n"))
	}
	return nil
}

func checkScenario(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	_, err = psscenario.Parse(path, data)
	return err
}
