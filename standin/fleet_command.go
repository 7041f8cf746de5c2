package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"

	"cassiarack.example/standin/fleet"
)

// startTimeout limits the start of a fleet.
const startTimeout = time.Minute

func fleetCommand() *ff.Command {
	fs := ff.NewFlagSet("fleet")
	node := fs.String('n', "node", ".bin/cassiarack-node", "node program")
	name := fs.String('d', "deployment", fleet.Latvia.Name, "deployment to run")
	secure := fs.Bool('t', "tls", "use TLS between nodes, with keys made in memory")
	return &ff.Command{
		Name:      "fleet",
		Usage:     "cassiarack-standin fleet [FLAGS]",
		ShortHelp: "run a local fleet until interrupted",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			d, ok := fleet.Deployments[*name]
			if !ok {
				return fmt.Errorf("flag --deployment: unknown deployment %q; allowed: latvia, rioGrandeDoSul", *name)
			}
			return runFleet(ctx, d, *node, *secure)
		},
	}
}

// runFleet starts a fleet, prints its addresses and stops it when ctx is done.
func runFleet(ctx context.Context, d fleet.Deployment, node string, secure bool) (err error) {
	folder, err := os.MkdirTemp("", "cassiarack-fleet-")
	if err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	f := &fleet.Fleet{Deployment: d, NodeProgram: node, Folder: folder}
	if secure {
		if f.Authority, err = fleet.NewAuthority(); err != nil {
			return err
		}
	}
	start, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.Start(start); err != nil {
		return fmt.Errorf("start fleet: %w (logs in %s)", err, folder)
	}
	fmt.Printf("%s: %d nodes are ready; logs in %s\n", d.Name, len(f.VMs), folder)
	for _, v := range f.VMs {
		fmt.Printf("%-16s %-8s callers http://%v/%s/ operators http://%v\n", v.Name, v.DataCentre, v.CallerAddress, v.Service.Name, v.AdminAddress)
	}
	<-ctx.Done()
	return f.Stop()
}
