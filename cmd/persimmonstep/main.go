// Command persimmonstep steers the traffic between callers and backend servers.
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
