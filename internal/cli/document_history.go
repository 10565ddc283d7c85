package cli

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/domain/timeline"
)

// documentChange is a change of a document, as recorded in the timelines of the processes.
type documentChange struct {
	Detail    string   `json:"what"`
	First     string   `json:"first"` // when the first process activated the change
	Last      string   `json:"last"`  // when the last process activated the change
	Processes []string `json:"processes"`
}

// historyResult is the JSON output of the history command.
type historyResult struct {
	Revision     uint64           `json:"revision"` // active revision
	Changes      []documentChange `json:"changes"`
	Unresponsive []string         `json:"silent,omitempty"`
}

// historyLimits explains what the command cannot show.
const historyLimits = "The store keeps only the current text of a document, not earlier ones. Changes are listed as far back as " +
	"the timeline of each process reaches."

func (a *app) documentHistory() *ffcli.Command {
	fs := a.flags("skylarkstall document history")
	var f operatorFlags
	f.register(fs, "table", "json")
	f.registerToken(fs)
	return &ffcli.Command{
		Name: "history", ShortUsage: "skylarkstall document history [flags] TEAM", FlagSet: fs, Options: options(),
		ShortHelp: "Print when and where revisions of a document came into force.",
		LongHelp: help("Print when and where revisions of a document came into force. "+historyLimits+
			" Fails when the token is wrong or no document is in force.",
			"skylarkstall document history --token T vembanad"),
		Exec: func(ctx context.Context, args []string) error {
			if err := f.validate(args, "TEAM"); err != nil {
				return err
			}
			current, err := f.client().Document(ctx, args[0])
			if err != nil {
				return err
			}
			reply, err := f.client().Timeline(ctx, url.Values{"job": {args[0] + "/"}}.Encode())
			if err != nil {
				return err
			}
			h := historyResult{Revision: current.Revision, Changes: mergeChanges(reply), Unresponsive: reply.Unresponsive}
			if f.output == "json" {
				return printJSON(a.out, h)
			}
			return a.printHistory(h)
		},
	}
}

// mergeChanges merges the events of all processes about the same change, ordered by the first event of each change.
func mergeChanges(reply callerhttp.Timeline) []documentChange {
	merged := []documentChange{}
	index := map[string]int{}
	for _, e := range reply.Events {
		if e.Kind != string(timeline.RevisionActivated) {
			continue
		}
		when := time.Unix(0, e.WallNS).UTC().Format(time.RFC3339)
		i, ok := index[e.Detail]
		if !ok {
			i = len(merged)
			index[e.Detail] = i
			merged = append(merged, documentChange{Detail: e.Detail, First: when})
		}
		merged[i].Last = when
		merged[i].Processes = append(merged[i].Processes, e.Process)
	}
	return merged
}

func (a *app) printHistory(h historyResult) error {
	fmt.Fprintf(a.out, "revision %d is in force\n", h.Revision)
	rows := [][]string{{"CHANGE", "FIRST", "LAST", "COUNT", "PROCESSES"}}
	for _, c := range h.Changes {
		rows = append(rows, []string{
			c.Detail, c.First, c.Last, strconv.Itoa(len(c.Processes)), strings.Join(c.Processes, ","),
		})
	}
	if err := printTable(a.out, rows); err != nil {
		return err
	}
	printUnresponsive(a.out, h.Unresponsive)
	fmt.Fprintln(a.out, historyLimits)
	return nil
}
