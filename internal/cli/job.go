package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/oklog/ulid/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/fault"
)

// callerFlags are the flags that all commands about a job have in common.
type callerFlags struct {
	address, team, token, id, output string
}

func (f *callerFlags) register(fs *flag.FlagSet, idUsage string) {
	fs.StringVar(&f.address, "address", "127.0.0.1:7070", "host:port of any process")
	fs.StringVar(&f.team, "team", "", "team")
	fs.StringVar(&f.token, "token", "", "token of the team")
	fs.StringVar(&f.id, "request-id", "", idUsage)
	fs.StringVar(&f.output, "output", "table", "table or json")
}

func (f *callerFlags) client() (*callerhttp.Client, error) {
	if f.output != "table" && f.output != "json" {
		return nil, fault.New(fault.Invalid, "output %q: want table or json", f.output)
	}
	return callerhttp.NewClient(f.address, f.token), nil
}

// jobCommand builds a command about one job.
func (a *app) jobCommand(name, short, example string, fs *flag.FlagSet, f *callerFlags,
	run func(ctx context.Context, client *callerhttp.Client) error,
) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: "skylarkstall " + name + " [flags]", ShortHelp: short,
		LongHelp: short + "\n\nEXAMPLE\n  " + example, FlagSet: fs, Options: options(),
		Exec: func(ctx context.Context, _ []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			return fault.Wrap(run(ctx, client), "job %s", f.id)
		},
	}
}

func (a *app) submit() *ffcli.Command {
	fs := a.flags("skylarkstall submit")
	var f callerFlags
	f.register(fs, "request id; generated when empty")
	kind := fs.String("kind", "", "kind of work")
	tasks := fs.Uint("tasks", 1, "number of tasks")
	payload := fs.String("payload", "", "payload of every task")
	deadline := fs.Duration("deadline", 0, "maximum time until the tasks start; 0 for the deadline of the kind")
	return a.jobCommand("submit", "Submit a job and print its request id.",
		"skylarkstall submit --team vembanad --token T --kind separation --tasks 200", fs, &f,
		func(ctx context.Context, client *callerhttp.Client) error {
			if f.id == "" {
				f.id = ulid.Make().String()
			}
			reply, err := client.Submit(ctx, callerhttp.JobRequest{
				Team: f.team, RequestID: f.id, Kind: *kind, Tasks: uint32(min(*tasks, 1<<31)),
				DeadlineMS: deadline.Milliseconds(), Payload: []byte(*payload),
			})
			if err != nil {
				return err
			}
			return printJob(a.out, f.output, reply)
		})
}

func (a *app) status() *ffcli.Command {
	fs := a.flags("skylarkstall status")
	var f callerFlags
	f.register(fs, "request id of the job")
	results := fs.Bool("results", false, "print the result of every task that has ended")
	return a.jobCommand("status", "Print the status of a job.",
		"skylarkstall status --team vembanad --token T --request-id R --results", fs, &f,
		func(ctx context.Context, client *callerhttp.Client) error {
			get := client.JobResults
			if !*results {
				get = func(ctx context.Context, team, id string) (callerhttp.JobStatus, error) {
					return client.Job(ctx, team, id, 0)
				}
			}
			reply, err := get(ctx, f.team, f.id)
			if err != nil {
				return err
			}
			return printJob(a.out, f.output, reply)
		})
}

func (a *app) wait() *ffcli.Command {
	fs := a.flags("skylarkstall wait")
	var f callerFlags
	f.register(fs, "request id of the job")
	return a.jobCommand("wait", "Print the progress of a job until it has ended. Fails if the job did not succeed.",
		"skylarkstall wait --team vembanad --token T --request-id R --output json", fs, &f,
		func(ctx context.Context, client *callerhttp.Client) error {
			last, err := client.WatchJob(ctx, f.team, f.id, func(reply callerhttp.JobStatus) error {
				return printProgress(a.out, f.output, reply)
			})
			if err != nil {
				return err
			}
			return outcomeError(last)
		})
}

// outcomeError returns an error of the matching kind if a job failed, was canceled or has an unknown outcome.
func outcomeError(reply callerhttp.JobStatus) error {
	switch reply.State {
	case "failed":
		return fault.New(fault.TaskFailed, "%d of %d tasks failed", reply.Failed, reply.Tasks)
	case "canceled":
		return fault.New(fault.Canceled, "%d of %d tasks were canceled", reply.Canceled, reply.Tasks)
	case "unknown":
		return fault.New(fault.UnknownOutcome, "the outcome of %d of %d tasks is unknown", reply.Unknown, reply.Tasks)
	default:
		return nil
	}
}

func (a *app) cancel() *ffcli.Command {
	fs := a.flags("skylarkstall cancel")
	var f callerFlags
	f.register(fs, "request id of the job or request")
	return a.jobCommand("cancel", "Cancel a job or a request.",
		"skylarkstall cancel --team vembanad --token T --request-id R", fs, &f,
		func(ctx context.Context, client *callerhttp.Client) error {
			reply, err := client.Cancel(ctx, f.team, f.id)
			if err != nil {
				return err
			}
			return printJob(a.out, f.output, reply)
		})
}

func printJob(out io.Writer, format string, reply callerhttp.JobStatus) error {
	if format == "json" {
		return printJSONLine(out, reply)
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "REQUEST ID\tKIND\tCLASS\tSTATE\tTASKS\tWAITING\tRUNNING\tSUCCEEDED\tFAILED\tCANCELED\tUNKNOWN")
	fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", reply.RequestID, reply.Kind, reply.Class,
		reply.State, reply.Tasks, reply.Waiting, reply.Running, reply.Succeeded, reply.Failed, reply.Canceled, reply.Unknown)
	if len(reply.Results) > 0 {
		fmt.Fprintln(table, "\nTASK\tSTATE\tRUN MS\tLENGTH\tDIGEST\tMESSAGE")
	}
	for _, r := range reply.Results {
		fmt.Fprintf(table, "%d\t%s\t%d\t%d\t%s\t%s\n", r.Index, r.State, r.RunMS, r.Length, r.Digest, r.Message)
	}
	return fault.Wrap(table.Flush(), "print")
}

func printProgress(out io.Writer, format string, reply callerhttp.JobStatus) error {
	if format == "json" {
		return printJSONLine(out, reply)
	}
	_, err := fmt.Fprintf(out, "%s: %s, %d of %d succeeded, %d running, %d waiting, %d failed, %d canceled, %d unknown\n",
		reply.RequestID, reply.State, reply.Succeeded, reply.Tasks, reply.Running, reply.Waiting, reply.Failed,
		reply.Canceled, reply.Unknown)
	return fault.Wrap(err, "print")
}

func printJSONLine(out io.Writer, reply callerhttp.JobStatus) error {
	return fault.Wrap(json.NewEncoder(out).Encode(reply), "print")
}
