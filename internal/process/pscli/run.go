package pscli

import (
	"context"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/process/psdev"
	"persimmonstep/internal/process/psdirectory"
	"persimmonstep/internal/process/pssettings"
	"persimmonstep/internal/process/psvm"
	"persimmonstep/internal/version/pstoml"
)

// serveCommand runs one entry VM.
type serveCommand struct {
	Settings    string        `required:"" type:"existingfile" help:"The VM's settings (TOML)."`
	StopTimeout time.Duration `default:"10m" help:"How long running requests may take after a stop signal."`
}

// Run serves until the context ends.
func (c *serveCommand) Run(ctx context.Context) error {
	s, err := pssettings.Load(c.Settings)
	if err != nil {
		return findingsOr(err)
	}
	l, err := psvm.Listen(ctx, s)
	if err != nil {
		return err
	}
	o := psvm.Options{
		Settings: s, Listeners: l, Logger: s.Log.Logger(s.Name),
		// Callers may have asked just before the VM said that it leaves.
		LeaveWait: psdirectory.TTL + time.Second, StopTimeout: c.StopTimeout,
	}
	// The VM outlives the signal until its requests are answered.
	_, stop, err := psvm.New(context.WithoutCancel(ctx), o)
	if err != nil {
		return err
	}
	<-ctx.Done()
	stop()
	return nil
}

// findingsOr ends a command with the findings' exit code if the error holds findings.
func findingsOr(err error) error {
	var f pstoml.Findings
	if errors.As(err, &f) {
		return &exitError{code: ExitFindings, text: f.Error()}
	}
	return err
}

// devCommand runs the whole system.
type devCommand struct {
	Ready string        `help:"Write where everything is to this file (JSON) when everything answers."`
	For   time.Duration `help:"Stop after this time; run until a signal when absent."`
	Log   string        `default:"info" help:"The log level."`
}

// Run runs the system until the context or the time ends.
func (c *devCommand) Run(ctx context.Context) error {
	l := hclog.New(&hclog.LoggerOptions{Name: "dev", Level: hclog.LevelFromString(c.Log), Output: os.Stderr})
	s, stop, err := psdev.New(context.WithoutCancel(ctx), psdev.Example(), l)
	if err != nil {
		return err
	}
	defer stop()
	if c.Ready != "" {
		if err := s.WriteReady(c.Ready); err != nil {
			return err
		}
	}
	if c.For > 0 {
		limited, cancel := context.WithTimeout(ctx, c.For)
		defer cancel()
		ctx = limited
	}
	l.Info("ready", "callers", s.Ready.Callers, "operators", s.Ready.Operators, "platform", s.Ready.Platform)
	<-ctx.Done()
	return nil
}
