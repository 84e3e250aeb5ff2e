package pscli

import (
	"context"
	"fmt"
	"net/netip"
	"os"

	"github.com/pkg/errors"

	"persimmonstep/platform/psstandin"
)

// standinCommand runs the stand-in of the platform's store.
type standinCommand struct {
	Listen        netip.AddrPort `default:"127.0.0.1:7400" help:"The address to listen on."`
	Configuration string         `type:"existingfile" help:"A configuration to begin with."`
}

// Run serves until the context ends.
func (c *standinCommand) Run(ctx context.Context, s streams) error {
	store, clean := psstandin.NewStore()
	defer clean()
	endpoint, closeEndpoint, err := store.Listen(ctx, c.Listen)
	if err != nil {
		return err
	}
	defer closeEndpoint()
	if c.Configuration != "" {
		data, err := os.ReadFile(c.Configuration)
		if err != nil {
			return errors.Wrap(err, "read configuration")
		}
		store.PutConfiguration(data)
	}
	_, _ = fmt.Fprintf(s.out, "store: %s\n", endpoint.Address)
	<-ctx.Done()
	return nil
}
