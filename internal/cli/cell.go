package cli

import (
	"context"
	"fmt"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkstall/internal/adapter/callerhttp"
)

func (a *app) cell() *ffcli.Command {
	fs := a.flags("skylarkstall cell")
	var f operatorFlags
	f.register(fs, "table", "json")
	workers := fs.Bool("workers", false, "print a row for each worker instead of each process")
	return &ffcli.Command{
		Name: "cell", ShortUsage: "skylarkstall cell [flags]", FlagSet: fs, Options: options(),
		ShortHelp: "Print the state of every process and worker.",
		LongHelp: help("Print the state of every process or every worker. Lists processes that did not respond. Fails "+
			"when the output format is unknown or no process responds at the address.",
			"skylarkstall cell --address 10.0.0.1:7070 --workers"),
		Exec: func(ctx context.Context, args []string) error {
			if err := f.validate(args); err != nil {
				return err
			}
			reply, err := f.client().CellStatus(ctx)
			switch {
			case err != nil:
				return err
			case f.output == "json":
				return printJSON(a.out, reply)
			}
			rows := processRows(reply)
			if *workers {
				rows = workerRows(reply)
			}
			if err := printTable(a.out, rows); err != nil {
				return err
			}
			printUnresponsive(a.out, reply.Unresponsive)
			return nil
		},
	}
}

func processRows(reply callerhttp.CellStatus) [][]string {
	rows := [][]string{{"PROCESS", "ZONE", "STATE", "REVISION", "PARTITIONS", "WORKERS", "RUNNING", "QUEUED"}}
	for _, p := range reply.Processes {
		running, queued := 0, 0
		for _, w := range p.Workers {
			running += w.Running
		}
		for _, n := range p.Queued {
			queued += n
		}
		rows = append(rows, []string{
			p.ID, p.Zone, state(p), strconv.FormatUint(p.Revision, 10), strconv.Itoa(len(p.Partitions)),
			strconv.Itoa(len(p.Workers)), strconv.Itoa(running), strconv.Itoa(queued),
		})
	}
	return rows
}

func state(p callerhttp.ProcessStatus) string {
	switch {
	case p.Draining:
		return "draining"
	case p.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func workerRows(reply callerhttp.CellStatus) [][]string {
	rows := [][]string{{"WORKER", "ZONE", "RACK", "OWNER", "EPOCH", "STATE", "RUNNING", "FREE"}}
	for _, p := range reply.Processes {
		for _, w := range p.Workers {
			usable := "usable"
			if !w.Usable {
				usable = "not usable"
			}
			rows = append(rows, []string{
				w.ID, w.Zone, w.Rack, p.ID, strconv.FormatUint(w.Epoch, 10), usable, strconv.Itoa(w.Running),
				fmt.Sprintf("%v of %v", w.Free, w.Capacity),
			})
		}
	}
	return rows
}
