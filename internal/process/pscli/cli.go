// Package pscli is the command line.
package pscli

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// Exit codes, the same for every command.
const (
	// ExitDone says that the command did what it was asked.
	ExitOK = 0
	// ExitFindings says that files have faults.
	ExitFindings = 1
	// ExitFailed says that the command could not be carried out.
	ExitFailed = 2
	// ExitBroken says that an experiment broke a promise.
	ExitBrokenPromise = 6
)

// exitError ends a command with a code; its text, if any, goes to the error output.
type exitError struct {
	code int
	text string
}

// Error is the text.
func (e *exitError) Error() string {
	return e.text
}

// commands is the command line's grammar.
type commands struct {
	Steer   steerCommand   `cmd:"" help:"Run one VM."`
	Dev     devCommand     `cmd:"" help:"Run the whole system in this process on loopback, with stand-ins."`
	Standin standinCommand `cmd:"" help:"Run the stand-in of the platform's store alone."`
	Measure measureCommand `cmd:"" help:"Run experiments and print what was measured."`
	Check   checkCommand   `cmd:"" help:"Check settings, configurations and scenarios, and print every finding."`
	Status  statusCommand  `cmd:"" help:"Show what VMs believe."`
	Explain explainCommand `cmd:"" help:"Explain what would be decided for a request, without sending it."`
}

// streams are where commands write.
type streams struct {
	out io.Writer
}

// Run carries out a command line and returns the exit code.
func Run(ctx context.Context, args []string, out, failures io.Writer) int {
	var c commands
	parser, err := kong.New(&c, kong.Name("persimmonstep"), kong.Description("Global traffic steering."),
		kong.Writers(out, failures), kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(streams{out: out}))
	if err != nil {
		panic(err)
	}
	command, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(failures, "persimmonstep:", err)
		return ExitFailed
	}
	return exitCode(command.Run(), failures)
}

func exitCode(err error, failures io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var e *exitError
	if !errors.As(err, &e) {
		e = &exitError{code: ExitFailed, text: "persimmonstep: " + err.Error()}
	}
	if e.text != "" {
		_, _ = fmt.Fprintln(failures, e.text)
	}
	return e.code
}
