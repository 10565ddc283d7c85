package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/fault"
)

func (a *app) run() *ffcli.Command {
	fs := a.flags("skylarkstall run")
	address := fs.String("address", "127.0.0.1:7070", "host:port of any process")
	team := fs.String("team", "", "team")
	token := fs.String("token", "", "token of the team")
	kind := fs.String("kind", "", "kind of work")
	id := fs.String("request-id", "", "request id; generated when empty")
	payload := fs.String("payload", "", "payload of the request")
	deadline := fs.Duration("deadline", 0, "maximum time until the response; 0 for the deadline of the kind")
	return &ffcli.Command{
		Name: "run", ShortUsage: "skylarkstall run [flags]", ShortHelp: "Run a short request and print its output.",
		FlagSet: fs, Options: options(),
		Exec: func(ctx context.Context, _ []string) error {
			if *id == "" {
				*id = ulid.Make().String()
			}
			client := callerhttp.NewClient(*address, *token)
			reply, err := client.Run(ctx, callerhttp.RunRequest{
				Team: *team, RequestID: *id, Kind: *kind, Payload: []byte(*payload),
				DeadlineMS: deadline.Milliseconds(),
			})
			if err != nil {
				return fault.Wrap(err, "request %s", *id)
			}
			_, err = fmt.Fprintf(a.out, "%s\n", reply.Output)
			return fault.Wrap(err, "print output of a run of %v", time.Duration(reply.RunMS)*time.Millisecond)
		},
	}
}
