package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/devcell"
	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/standin/worker"
)

// startTimeout bounds the start of a cell.
const startTimeout = 30 * time.Second

func (a *app) dev() *ffcli.Command {
	fs := a.flags("skylarkstall dev")
	address := fs.String("caller-address", "127.0.0.1:7070", "host:port of the first process")
	processes := fs.Int("processes", 3, "entry processes")
	workers := fs.Int("workers", 6, "worker stand-ins")
	policy := fs.String("policy", fleet.FairShare.Name, "placement policy: "+strings.Join(fleet.PolicyNames(), ", "))
	demo := fs.Bool("demo", false, "submit work of every kind, print the answers and the time line, and stop")
	level := fs.String("log-level", "warn", "debug, info, warn or error")
	return &ffcli.Command{
		Name: "dev", ShortUsage: "skylarkstall dev [flags]", FlagSet: fs, Options: options(),
		ShortHelp: "Run a whole cell with stand-ins in one process.",
		Exec: func(ctx context.Context, _ []string) error {
			log, err := a.logger(*level)
			if err != nil {
				return err
			}
			placement, err := fleet.PolicyNamed(*policy)
			if err != nil {
				return err
			}
			cell, err := devcell.Start(ctx, devcell.Settings{
				Processes: *processes, Workers: *workers, CallerAddress: *address, Policy: placement, Log: log,
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
			if *demo {
				return a.demo(ctx, cell)
			}
			fmt.Fprintf(a.out, "%d processes and %d workers are ready; callers reach %s\n",
				*processes, *workers, cell.Nodes[0].CallerAddress())
			<-ctx.Done()
			return nil
		},
	}
}

// demo submits work to every process and prints the answers and the time line.
func (a *app) demo(ctx context.Context, cell *devcell.Cell) error {
	for i, n := range cell.Nodes {
		id := fmt.Sprintf("proof-%d", i+1)
		payload, err := json.Marshal(worker.Payload{RunMS: 100, Echo: "proof checked: " + id})
		if err != nil {
			return fault.As(fault.Internal, err, "payload")
		}
		client := callerhttp.NewClient(n.CallerAddress(), "vembanad-dev-token")
		reply, err := client.Run(ctx, callerhttp.RunCall{Team: "vembanad", RequestID: id, Kind: "proof", Payload: payload})
		if err != nil {
			return fault.Wrap(err, "request %s", id)
		}
		fmt.Fprintf(a.out, "%s through %s: %s\n", id, n.ID, reply.Output)
	}
	reply, err := callerhttp.NewClient(cell.Nodes[0].CallerAddress(), "").Timeline(ctx, "")
	if err != nil {
		return err
	}
	fmt.Fprintln(a.out, "\ntime line over all processes:")
	for _, e := range reply.Events {
		fmt.Fprintln(a.out, e.Text)
	}
	return nil
}
