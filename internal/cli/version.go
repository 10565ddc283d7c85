package cli

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// versionReply is the output of the version command.
type versionReply struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"` // revision of the source; a trailing "+" marks uncommitted changes
	Go       string `json:"go"`
	Platform string `json:"platform"`
}

func (a *app) version() *ffcli.Command {
	fs := a.flags("skylarkstall version")
	f := operatorFlags{formats: []string{"table", "json"}}
	fs.StringVar(&f.output, "output", "table", "table or json")
	return &ffcli.Command{
		Name: "version", ShortUsage: "skylarkstall version [flags]", FlagSet: fs, Options: options(),
		ShortHelp: "Print the version of this program.",
		LongHelp: help("Print the version of this program. Fails when the output format is unknown.",
			"skylarkstall version --output json"),
		Exec: func(_ context.Context, args []string) error {
			if err := f.validate(args); err != nil {
				return err
			}
			reply := buildVersion()
			if f.output == "json" {
				return printJSON(a.out, reply)
			}
			fmt.Fprintf(a.out, "skylarkstall %s %s %s %s\n", reply.Version, reply.Revision, reply.Go, reply.Platform)
			return nil
		},
	}
}

func buildVersion() versionReply {
	reply := versionReply{Version: "unknown", Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return reply
	}
	reply.Version = info.Main.Version
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			reply.Revision = setting.Value + reply.Revision
		case setting.Key == "vcs.modified" && setting.Value == "true":
			reply.Revision += "+"
		}
	}
	return reply
}
