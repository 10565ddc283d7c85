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

// change is a change of a document as the time lines of the processes tell it.
type change struct {
	What      string   `json:"what"`
	First     string   `json:"first"` // when the first process had it in force
	Last      string   `json:"last"`
	Processes []string `json:"processes"`
}

// history is what the history command prints as JSON.
type history struct {
	Revision uint64   `json:"revision"` // in force now
	Changes  []change `json:"changes"`
	Silent   []string `json:"silent,omitempty"`
}

// notKept says what the command cannot show.
const notKept = "The store keeps only the last text of a document; former texts are not kept. Times go back as far as the " +
	"time line of each process."

func (a *app) documentHistory() *ffcli.Command {
	fs := a.flags("skylarkstall document history")
	var f operatorFlags
	f.register(fs, "table", "json")
	f.registerToken(fs)
	return &ffcli.Command{
		Name: "history", ShortUsage: "skylarkstall document history [flags] TEAM", FlagSet: fs, Options: options(),
		ShortHelp: "Print when revisions of a document came into force.",
		LongHelp: help("Print when revisions of a document came into force, and where. "+notKept+
			" Fails when the token is wrong or no document is in force.",
			"skylarkstall document history --token T vembanad"),
		Exec: func(ctx context.Context, args []string) error {
			if err := f.check(args, "TEAM"); err != nil {
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
			h := history{Revision: current.Revision, Changes: changes(reply), Silent: reply.Unresponsive}
			if f.output == "json" {
				return printJSON(a.out, h)
			}
			return a.printHistory(h)
		},
	}
}

// changes joins the events of all processes about the same change, in the order in which the first ones came.
func changes(reply callerhttp.Timeline) []change {
	list := []change{}
	at := map[string]int{}
	for _, e := range reply.Events {
		if e.Kind != string(timeline.RevisionActivated) {
			continue
		}
		when := time.Unix(0, e.WallNS).UTC().Format(time.RFC3339)
		i, ok := at[e.Detail]
		if !ok {
			i = len(list)
			at[e.Detail] = i
			list = append(list, change{What: e.Detail, First: when})
		}
		list[i].Last = when
		list[i].Processes = append(list[i].Processes, e.Process)
	}
	return list
}

func (a *app) printHistory(h history) error {
	fmt.Fprintf(a.out, "revision %d is in force\n", h.Revision)
	rows := [][]string{{"CHANGE", "FIRST", "LAST", "COUNT", "PROCESSES"}}
	for _, c := range h.Changes {
		rows = append(rows, []string{
			c.What, c.First, c.Last, strconv.Itoa(len(c.Processes)), strings.Join(c.Processes, ","),
		})
	}
	if err := printTable(a.out, rows); err != nil {
		return err
	}
	printSilent(a.out, h.Silent)
	fmt.Fprintln(a.out, notKept)
	return nil
}
