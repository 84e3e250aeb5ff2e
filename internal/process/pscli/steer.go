package pscli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"persimmonstep/internal/process/pssteer"
	"persimmonstep/platform/pssettings"
)

// steerCommand runs a VM.
type steerCommand struct {
	Settings string `required:"" help:"The settings file that the machine provides."`
	Check    bool   `help:"Check the settings, print every finding and exit."`
}

// Run serves until the context ends.
func (c *steerCommand) Run(ctx context.Context, s streams) error {
	if c.Check {
		if _, err := pssettings.Read(c.Settings); err != nil {
			return &exitError{code: ExitFindings, text: err.Error()}
		}
		return nil
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	return pssteer.Run(ctx, pssteer.Options{SettingsPath: c.Settings, Output: s.out, Reload: reload})
}
