package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"

	"cassiarack.example/standin/mesh"
)

// soakCommand returns the command that injects faults into real sidecars.
func soakCommand() *ff.Command {
	fs := ff.NewFlagSet("soak")
	program := fs.String('p', "program", ".bin/cassiarack-sidecar", "sidecar program")
	seed := fs.Uint64(0, "seed", 1, "seed of the first run")
	seeds := fs.Int(0, "seeds", 1, "number of runs, each with the next seed")
	length := fs.Duration(0, "length", 20*time.Second, "time in which faults are injected, for each seed")
	alpha := fs.Int(0, "alpha", 6, "instances of the first service")
	beta := fs.Int(0, "beta", 3, "instances of the second service")
	network := fs.Int(0, "network", 50, "second byte of the loopback addresses")
	organisations := fs.Bool(0, "organisations", "with organisations, whose keys and limits change")
	return &ff.Command{
		Name:      "soak",
		Usage:     "cassiarack-standin soak [FLAGS]",
		ShortHelp: "inject random faults into real sidecars and check the guarantees",
		LongHelp:  "Example:\n  cassiarack-standin soak --seed 100 --seeds 10",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			failed := 0
			for n := range *seeds {
				s := *seed + uint64(n)
				m := &mesh.Mesh{Program: *program, Services: map[string]int{"alpha": *alpha, "beta": *beta}, Network: *network}
				if *organisations {
					m.UseOrganisations()
				}
				broken, err := runSeed(ctx, m, s, *length)
				if err != nil {
					return err
				}
				failed += min(broken, 1)
			}
			fmt.Printf("%d seeds, %d with violations\n", *seeds, failed)
			if failed > 0 {
				return fmt.Errorf("%d seeds had violations", failed)
			}
			return nil
		},
	}
}

// runSeed runs a soak of the given length with one seed and returns the number of
// violations. It prints the faults and keeps the logs if there is any violation.
func runSeed(ctx context.Context, m *mesh.Mesh, seed uint64, length time.Duration) (int, error) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("cassiarack-soak-%d-", seed))
	if err != nil {
		return 0, fmt.Errorf("create folder: %w", err)
	}
	m.Folder = folder
	defer m.Stop()
	if err := m.Start(ctx); err != nil {
		return 0, fmt.Errorf("start fleet: %w (logs in %s)", err, folder)
	}
	var faults []string
	o, broken := m.Soak(ctx, seed, length, func(format string, args ...any) {
		faults = append(faults, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	})
	fmt.Printf("seed %d: %v, %d violations\n", seed, o.Statuses, len(broken))
	if len(broken) == 0 {
		return 0, os.RemoveAll(folder)
	}
	for _, f := range faults {
		fmt.Println(" ", f)
	}
	for _, b := range broken {
		fmt.Println("  violation:", b)
	}
	fmt.Println("  logs in", folder)
	return len(broken), nil
}
