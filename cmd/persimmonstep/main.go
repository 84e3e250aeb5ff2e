// Command persimmonstep runs the VMs of a global traffic steering system, which route callers' requests to backend
// servers, and the tools to test and operate it.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"persimmonstep/internal/process/pscli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := pscli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
