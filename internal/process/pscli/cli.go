// Package pscli implements the command line: one command for each way to run, test or inspect the system.
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
	// ExitOK reports success.
	ExitOK = 0
	// ExitFindings reports faults in the input.
	ExitFindings = 1
	// ExitFailed reports that the command could not be executed.
	ExitFailed = 2
	// ExitViolation reports that the system violated a guarantee in an experiment.
	ExitViolation = 6
)

// exitError ends a command with an exit code. Its text, if any, is printed to the error output.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string {
	return e.text
}

// commands is the grammar of the command line.
type commands struct {
	Steer   steerCommand   `cmd:"" help:"Run one VM."`
	Dev     devCommand     `cmd:"" help:"Run the whole system in this process on loopback, with stand-ins."`
	Standin standinCommand `cmd:"" help:"Run the stand-in of the platform's store alone."`
	Measure measureCommand `cmd:"" help:"Run experiments and print what was measured."`
	Check   checkCommand   `cmd:"" help:"Check settings, configurations and scenarios, and print every finding."`
	Status  statusCommand  `cmd:"" help:"Show what VMs believe."`
	Explain explainCommand `cmd:"" help:"Explain what would be decided for a request, without sending it."`
}

// streams are the outputs of commands.
type streams struct {
	out io.Writer
}

// Run executes a command line and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var c commands
	parser, err := kong.New(&c, kong.Name("persimmonstep"), kong.Description("Global traffic steering."),
		kong.Writers(out, errOut), kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(streams{out: out}))
	if err != nil {
		panic(err)
	}
	command, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "persimmonstep:", err)
		return ExitFailed
	}
	return exitCode(command.Run(), errOut)
}

func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var e *exitError
	if !errors.As(err, &e) {
		e = &exitError{code: ExitFailed, text: "persimmonstep: " + err.Error()}
	}
	if e.text != "" {
		_, _ = fmt.Fprintln(errOut, e.text)
	}
	return e.code
}
