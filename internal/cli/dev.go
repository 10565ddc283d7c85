package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkstall/internal/devcell"
	"skylarkstall/internal/domain/fleet"
)

// startTimeout limits the time until a new cell is ready.
const startTimeout = 30 * time.Second

func (a *app) dev() *ffcli.Command {
	fs := a.flags("skylarkstall dev")
	address := fs.String("caller-address", "127.0.0.1:7070", "host:port of the first process")
	processes := fs.Int("processes", 3, "number of entry processes")
	workers := fs.Int("workers", 6, "number of fake workers")
	policy := fs.String("policy", fleet.FairShare.Name, "placement policy: "+strings.Join(fleet.PolicyNames(), ", "))
	runDemo := fs.Bool("demo", false, "submit work of every class, print the responses and the timeline, check them and exit")
	level := fs.String("log-level", "warn", "debug, info, warn or error")
	return &ffcli.Command{
		Name: "dev", ShortUsage: "skylarkstall dev [flags]", FlagSet: fs, Options: options(),
		ShortHelp: "Run a whole cell with a fake platform and fake workers in one process.",
		Exec: func(ctx context.Context, _ []string) error {
			log, err := a.logger(*level)
			if err != nil {
				return err
			}
			placement, err := fleet.ParsePolicy(*policy)
			if err != nil {
				return err
			}
			invariants := devcell.NewInvariantChecker(devcell.DefaultCapacity)
			cell, err := devcell.Start(ctx, devcell.Settings{
				Processes: *processes, Workers: *workers, CallerAddress: *address, Policy: placement, Log: log,
				Observe: invariants.Observe,
			})
			if err != nil {
				return err
			}
			defer cell.Close()
			ready, cancel := context.WithTimeout(ctx, startTimeout)
			defer cancel()
			if err := cell.AwaitReady(ready); err != nil {
				return err
			}
			if *runDemo {
				d := &demo{app: a, cell: cell, invariants: invariants}
				return d.run(ctx)
			}
			fmt.Fprintf(a.out, "%d processes and %d workers are ready; caller address %s\n",
				*processes, *workers, cell.Nodes[0].CallerAddress())
			<-ctx.Done()
			return nil
		},
	}
}
