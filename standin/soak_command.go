package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"

	"cassiarack.example/standin/mesh"
)

// soakCommand plays faults against real sidecars.
func soakCommand() *ff.Command {
	fs := ff.NewFlagSet("soak")
	program := fs.String('p', "program", ".bin/cassiarack-sidecar", "sidecar program")
	seed := fs.Uint64(0, "seed", 1, "first seed")
	seeds := fs.Int(0, "seeds", 1, "number of seeds")
	length := fs.Duration(0, "length", 20*time.Second, "time with faults for each seed")
	alpha := fs.Int(0, "alpha", 6, "instances of the first service")
	beta := fs.Int(0, "beta", 3, "instances of the second service")
	network := fs.Int(0, "network", 50, "second number of the loopback addresses")
	return &ff.Command{
		Name:      "soak",
		Usage:     "cassiarack-standin soak [FLAGS]",
		ShortHelp: "inject random faults into real sidecars and check the promises",
		LongHelp:  "Example:\n  cassiarack-standin soak --seed 100 --seeds 10",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			failed := 0
			for n := range *seeds {
				s := *seed + uint64(n)
				m := &mesh.Mesh{Program: *program, Services: map[string]int{"alpha": *alpha, "beta": *beta}, Network: *network}
				broken, err := runSeed(ctx, m, s, *length)
				if err != nil {
					return err
				}
				failed += min(broken, 1)
			}
			fmt.Printf("%d seeds, %d with a broken promise\n", *seeds, failed)
			if failed > 0 {
				return fmt.Errorf("%d seeds broke a promise", failed)
			}
			return nil
		},
	}
}

// runSeed plays one seed and returns the number of broken promises. The logs of
// a seed that broke one are kept.
func runSeed(ctx context.Context, m *mesh.Mesh, seed uint64, length time.Duration) (int, error) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("cassiarack-soak-%d-", seed))
	if err != nil {
		return 0, fmt.Errorf("make folder: %w", err)
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
	fmt.Printf("seed %d: %v, %d broken promises\n", seed, o.Statuses, len(broken))
	if len(broken) == 0 {
		return 0, os.RemoveAll(folder)
	}
	for _, f := range faults {
		fmt.Println(" ", f)
	}
	for _, b := range broken {
		fmt.Println("  broken:", b)
	}
	fmt.Println("  logs in", folder)
	return len(broken), nil
}
