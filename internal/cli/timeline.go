package cli

import (
	"context"
	"fmt"
	"html/template"
	"io"
	"net/url"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/fault"
)

func (a *app) timeline() *ffcli.Command {
	fs := a.flags("skylarkstall timeline")
	var f operatorFlags
	f.register(fs, "table", "json", "html")
	job := fs.String("job", "", "only events of this job or request, as team/request-id")
	worker := fs.String("worker", "", "only events on this worker")
	since := fs.Duration("since", 0, "only events of this last period; 0 for all events kept")
	return &ffcli.Command{
		Name: "timeline", ShortUsage: "skylarkstall timeline [flags]", FlagSet: fs, Options: options(),
		ShortHelp: "Print the events of all processes in causal order.",
		LongHelp: help("Print the events of all processes in an order in which a cause precedes its effects. Lists processes "+
			"that did not respond; their events are missing. Fails when --job is not team/request-id, --since is negative "+
			"or the output format is unknown.",
			"skylarkstall timeline --job vembanad/proof-17 --since 10m --output html > proof-17.html"),
		Exec: func(ctx context.Context, args []string) error {
			if err := f.validate(args); err != nil {
				return err
			}
			query, err := timelineQuery(*job, *worker, *since)
			if err != nil {
				return err
			}
			reply, err := f.client().Timeline(ctx, query)
			if err != nil {
				return err
			}
			return printTimeline(a.out, f.output, reply)
		},
	}
}

func timelineQuery(job, worker string, since time.Duration) (string, error) {
	query := url.Values{}
	if job != "" {
		if team, request, ok := strings.Cut(job, "/"); !ok || team == "" || request == "" {
			return "", fault.New(fault.Invalid, "job %q: want team/request-id", job)
		}
		query.Set("job", job)
	}
	if since < 0 {
		return "", fault.New(fault.Invalid, "since %v: want 0 or more", since)
	}
	if since > 0 {
		query.Set("since", since.String())
	}
	if worker != "" {
		query.Set("worker", worker)
	}
	return query.Encode(), nil
}

func printTimeline(out io.Writer, format string, reply callerhttp.Timeline) error {
	switch format {
	case "json":
		return printJSON(out, reply)
	case "html":
		return fault.WrapAs(fault.Internal, timelinePage.Execute(out, reply), "print")
	}
	for _, e := range reply.Events {
		fmt.Fprintln(out, e.Text)
	}
	printUnresponsive(out, reply.Unresponsive)
	return nil
}

// timelinePage is a self-contained HTML page.
var timelinePage = template.Must(template.New("timeline").Funcs(template.FuncMap{
	"clock": func(ns int64) string { return time.Unix(0, ns).UTC().Format("2006-01-02 15:04:05.000") },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>skylarkstall timeline</title>
<style>
body { font: 14px/1.4 sans-serif; margin: 1em }
table { border-collapse: collapse }
td, th { padding: .1em .6em; text-align: left; vertical-align: top }
tr:nth-child(even) { background: #f2f2f2 }
</style></head><body>
<h1>Timeline</h1>
<p>{{len .Events}} events, times in UTC.{{with .Unresponsive}} Processes that did not respond, whose events are missing:
{{range $i, $p := .}}{{if $i}}, {{end}}{{$p}}{{end}}.{{end}}</p>
<table>
<tr><th>Time</th><th>Process</th><th>Event</th><th>Work</th><th>Worker</th><th>Detail</th></tr>
{{range .Events}}<tr><td>{{clock .WallNS}}</td><td>{{.Process}}</td><td>{{.Kind}}</td><td>{{.Work}}{{.Task}}</td>` +
	`<td>{{.Worker}}</td><td>{{.Detail}}</td></tr>
{{end}}</table>
</body></html>
`))
