package pscli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/trial/psdev"
)

// devCommand runs the development system.
type devCommand struct {
	Ready string        `help:"Write where everything is to this file (JSON) when everything answers."`
	For   time.Duration `help:"Stop after this time; run until a signal when absent."`
	Logs  string        `type:"existingdir" help:"Write the log of each VM to a file in this directory."`
}

// Run runs the system until the context ends or the time is over.
func (c *devCommand) Run(ctx context.Context, s streams) error {
	logs := &logFiles{directory: c.Logs}
	defer logs.close()
	system, stop, err := psdev.New(context.WithoutCancel(ctx), psdev.Example(), logs.open)
	if err != nil {
		return err
	}
	defer stop()
	if logs.err != nil {
		return logs.err
	}
	if c.Ready != "" {
		if err := system.WriteReady(c.Ready); err != nil {
			return err
		}
	}
	if c.For > 0 {
		limited, cancel := context.WithTimeout(ctx, c.For)
		defer cancel()
		ctx = limited
	}
	printReady(s.out, &system.Ready)
	<-ctx.Done()
	return nil
}

// printReady prints the addresses of the system and an example request.
func printReady(w io.Writer, r *psdev.Ready) {
	for _, v := range r.VMs {
		_, _ = fmt.Fprintf(w, "%s: callers %s, directory %s, operators %s\n", v.Name, v.Callers, v.Directory, v.Operators)
	}
	_, _ = fmt.Fprintf(w, "store: %s\ntry: curl -H 'Host: %s' -H 'Authorization: Bearer %s' -H 'Request-Id: 1' http://%s/prices/eggs\n",
		r.Store, r.Host, r.Workspaces[0].Key, r.VMs[0].Callers)
}

// logFiles holds the open log files of the VMs. Without a directory, logs are discarded.
type logFiles struct {
	directory string

	mutex sync.Mutex
	files []*os.File
	err   error
}

// open returns the log output of a VM. It stores the error if the file can't be opened.
func (l *logFiles) open(vm string) io.Writer {
	if l.directory == "" {
		return io.Discard
	}
	f, err := os.OpenFile(filepath.Join(l.directory, vm+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		l.err = errors.Wrap(err, "open log file")
		return io.Discard
	}
	l.files = append(l.files, f)
	return f
}

func (l *logFiles) close() {
	for _, f := range l.files {
		_ = f.Close()
	}
}
