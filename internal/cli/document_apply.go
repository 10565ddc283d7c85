package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
)

// inForceInterval is the pause between questions whether a revision is in force.
const inForceInterval = 200 * time.Millisecond

// applied is what the apply command prints as JSON.
type applied struct {
	Name     string   `json:"name"`
	Revision uint64   `json:"revision"`
	Changed  bool     `json:"changed"`
	InForce  int      `json:"in_force"` // processes
	Of       int      `json:"of"`
	Lagging  []string `json:"lagging,omitempty"`
}

func (a *app) documentApply() *ffcli.Command {
	fs := a.flags("skylarkstall document apply")
	var f documentFlags
	f.register(fs)
	revision := fs.Uint64("revision", 0, "revision that the file was made from; 0 for the one in force")
	wait := fs.Duration("wait", 30*time.Second, "longest wait until the change is in force everywhere")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "skylarkstall document apply [flags] FILE", FlagSet: fs, Options: options(),
		ShortHelp: "Put a document in force.",
		LongHelp: help("Show the difference, put a document in force unless someone else changed it meanwhile, and wait until it "+
			"is in force in every process. Fails when the file is not valid, the token is wrong, someone else changed the "+
			"document, or a process lags after the wait.", "skylarkstall document apply --token T vembanad.yaml"),
		Exec: func(ctx context.Context, args []string) error {
			if err := f.check(args, "FILE"); err != nil {
				return err
			}
			d, current, err := f.load(ctx, args[0])
			if err != nil {
				return err
			}
			result := applied{Name: d.name, Revision: current.Revision}
			if *revision != 0 {
				current.Revision = *revision
			}
			if string(d.source) != current.Source || current.Revision == 0 {
				if result, err = a.put(ctx, &f, d, current); err != nil {
					return err
				}
			}
			err = a.awaitInForce(ctx, &f, &result, *wait)
			if f.output == "json" {
				if printErr := printJSON(a.out, result); printErr != nil {
					return printErr
				}
			}
			return err
		},
	}
}

// put shows the difference and makes the change.
func (a *app) put(
	ctx context.Context, f *documentFlags, d draft, current callerhttp.Document,
) (applied, error) {
	if f.output == "table" {
		fmt.Fprintf(a.out, "from revision %d:\n%s", current.Revision, difference(current, d))
	}
	reply, err := f.client().PutDocument(ctx, d.name, callerhttp.Document{
		Source: string(d.source), Revision: current.Revision,
	})
	return applied{Name: d.name, Revision: reply.Revision, Changed: true}, err
}

// awaitInForce waits until every process has the revision in force. It fails with NotReady and names those that lag.
func (a *app) awaitInForce(ctx context.Context, f *documentFlags, result *applied, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var err error
	for {
		var cell callerhttp.CellStatus
		if cell, err = f.client().CellStatus(ctx); err == nil {
			count(result, cell)
			if len(result.Lagging) == 0 {
				break
			}
		}
		if !pause.For(ctx, inForceInterval) {
			break
		}
	}
	if f.output == "table" {
		fmt.Fprintf(a.out, "revision %d is in force on %d of %d\n", result.Revision, result.InForce, result.Of)
	}
	switch {
	case len(result.Lagging) > 0:
		return fault.New(fault.NotReady, "revision %d is accepted; not in force yet on %s",
			result.Revision, strings.Join(result.Lagging, ", "))
	case result.Of == 0:
		return fault.Wrap(err, "revision %d is accepted; where it is in force is not known", result.Revision)
	}
	return nil
}

func count(result *applied, cell callerhttp.CellStatus) {
	result.InForce, result.Of = 0, len(cell.Processes)+len(cell.Unresponsive)
	result.Lagging = nil
	for _, p := range cell.Processes {
		if p.Revision >= result.Revision {
			result.InForce++
		} else {
			result.Lagging = append(result.Lagging, fmt.Sprintf("%s (revision %d)", p.ID, p.Revision))
		}
	}
	for _, id := range cell.Unresponsive {
		result.Lagging = append(result.Lagging, id+" (no answer)")
	}
}
