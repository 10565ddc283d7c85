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

// activePollInterval is the interval at which the cell is polled until a revision is active in every process.
const activePollInterval = 200 * time.Millisecond

// applyResult is the JSON output of the apply command, which calls an active revision one that is in force.
type applyResult struct {
	Name         string   `json:"name"`
	Revision     uint64   `json:"revision"`
	Changed      bool     `json:"changed"`
	ActiveCount  int      `json:"in_force"` // number of processes in which the revision is active
	ProcessCount int      `json:"of"`       // number of processes of the cell
	Lagging      []string `json:"lagging,omitempty"`
}

func (a *app) documentApply() *ffcli.Command {
	fs := a.flags("skylarkstall document apply")
	var f documentFlags
	f.register(fs)
	revision := fs.Uint64("revision", 0, "revision that the file is based on; 0 for the revision in force")
	wait := fs.Duration("wait", 30*time.Second, "maximum time to wait until the change is in force in every process")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "skylarkstall document apply [flags] FILE", FlagSet: fs, Options: options(),
		ShortHelp: "Put a document in force.",
		LongHelp: help("Show the difference, put a document in force unless it was changed concurrently, and wait until it is in "+
			"force in every process. Fails when the file is not valid, the token is wrong, the document was changed "+
			"concurrently, or a process still lags after the wait.", "skylarkstall document apply --token T vembanad.yaml"),
		Exec: func(ctx context.Context, args []string) error {
			if err := f.validate(args, "FILE"); err != nil {
				return err
			}
			d, current, err := f.loadDocuments(ctx, args[0])
			if err != nil {
				return err
			}
			result := applyResult{Name: d.name, Revision: current.Revision}
			if *revision != 0 {
				current.Revision = *revision
			}
			if string(d.source) != current.Source || current.Revision == 0 {
				if result, err = a.putDocument(ctx, &f, d, current); err != nil {
					return err
				}
			}
			err = a.waitActive(ctx, &f, &result, *wait)
			if f.output == "json" {
				if printErr := printJSON(a.out, result); printErr != nil {
					return printErr
				}
			}
			return err
		},
	}
}

// putDocument prints the difference and sends the document, which is rejected if the revision has changed.
func (a *app) putDocument(
	ctx context.Context, f *documentFlags, d documentFile, current callerhttp.Document,
) (applyResult, error) {
	if f.output == "table" {
		fmt.Fprintf(a.out, "from revision %d:\n%s", current.Revision, diffText(current, d))
	}
	reply, err := f.client().PutDocument(ctx, d.name, callerhttp.Document{
		Source: string(d.source), Revision: current.Revision,
	})
	return applyResult{Name: d.name, Revision: reply.Revision, Changed: true}, err
}

// waitActive waits until the revision is active in every process. It fails with NotReady and lists those that lag.
func (a *app) waitActive(ctx context.Context, f *documentFlags, result *applyResult, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var err error
	for {
		var cell callerhttp.CellStatus
		if cell, err = f.client().CellStatus(ctx); err == nil {
			countActive(result, cell)
			if len(result.Lagging) == 0 {
				break
			}
		}
		if !pause.For(ctx, activePollInterval) {
			break
		}
	}
	if f.output == "table" {
		fmt.Fprintf(a.out, "revision %d is in force on %d of %d\n", result.Revision, result.ActiveCount, result.ProcessCount)
	}
	switch {
	case len(result.Lagging) > 0:
		return fault.New(fault.NotReady, "revision %d was accepted but is not yet in force on %s",
			result.Revision, strings.Join(result.Lagging, ", "))
	case result.ProcessCount == 0:
		return fault.Wrap(err, "revision %d was accepted; cannot determine where it is in force", result.Revision)
	}
	return nil
}

func countActive(result *applyResult, cell callerhttp.CellStatus) {
	result.ActiveCount, result.ProcessCount = 0, len(cell.Processes)+len(cell.Unresponsive)
	result.Lagging = nil
	for _, p := range cell.Processes {
		if p.Revision >= result.Revision {
			result.ActiveCount++
		} else {
			result.Lagging = append(result.Lagging, fmt.Sprintf("%s (revision %d)", p.ID, p.Revision))
		}
	}
	for _, id := range cell.Unresponsive {
		result.Lagging = append(result.Lagging, id+" (no response)")
	}
}
