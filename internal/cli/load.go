package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkstall/internal/fault"
	"skylarkstall/internal/load"
	"skylarkstall/internal/report"
)

func (a *app) load() *ffcli.Command {
	fs := a.flags("skylarkstall load")
	addresses := fs.String("addresses", "127.0.0.1:7070", "host:port of the processes, separated by commas")
	tokens := fs.String("tokens", "vembanad=vembanad-dev-token,goldfields=goldfields-dev-token", "team=token, separated by commas")
	profile := fs.String("profile", "shift", "name of a profile: shift, rush, overnight, heavy-tail or overload")
	seed := fs.Uint64("seed", 1, "seed of the arrivals")
	factor := fs.Float64("load", 1, "times the profile's rates, which suit 48 slots")
	label := fs.String("label", "run", "label of the result")
	out := fs.String("out", "", "file for the JSON result; empty for none")
	return &ffcli.Command{
		Name: "load", ShortUsage: "skylarkstall load [flags]", FlagSet: fs, Options: options(),
		ShortHelp: "Send a profile of requests to real processes and measure their waits.",
		LongHelp:  "Example: skylarkstall load --profile rush --label new --out new.json",
		Exec: func(ctx context.Context, _ []string) error {
			p, err := load.ProfileByName(*profile)
			if err != nil {
				return err
			}
			teams, err := parseTokens(*tokens)
			if err != nil {
				return err
			}
			if *factor <= 0 || *factor > 100 {
				return fault.New(fault.Invalid, "load is %v; want above 0, at most 100", *factor)
			}
			result, err := load.Run(ctx, load.Settings{
				Addresses: strings.Split(*addresses, ","), Tokens: teams, Profile: p, Seed: *seed, LoadFactor: *factor,
				Label: *label, Progress: a.err,
			})
			if err != nil {
				return err
			}
			a.printLoad(result)
			return writeResult(*out, result)
		},
	}
}

func parseTokens(text string) (map[string]string, error) {
	tokens := map[string]string{}
	for _, part := range strings.Split(text, ",") {
		team, token, ok := strings.Cut(part, "=")
		if !ok {
			return nil, fault.New(fault.Invalid, "--tokens: want team=token, separated by commas")
		}
		tokens[team] = token
	}
	return tokens, nil
}

func (a *app) printLoad(result *load.Result) {
	for name, k := range result.Kinds {
		fmt.Fprintf(a.out, "%s: %d sent, %d done, %d not sent, %d wrong; wait ms p50 %.1f p99 %.1f p99.9 %.1f; failures %v\n",
			name, k.Sent, k.Done, k.NotSent, k.Wrong, k.Wait.P50, k.Wait.P99, k.Wait.P999, k.Failures)
	}
}

func writeResult(path string, result *load.Result) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return fault.WrapAs(fault.Internal, err, "encode the result")
	}
	return fault.WrapAs(fault.Invalid, os.WriteFile(path, data, 0o600), "--out")
}

func (a *app) report() *ffcli.Command {
	fs := a.flags("skylarkstall report")
	out := fs.String("out", "report.html", "file for the HTML page")
	return &ffcli.Command{
		Name: "report", ShortUsage: "skylarkstall report [flags] result.json...", FlagSet: fs, Options: options(),
		ShortHelp: "Turn results of load into one HTML page with plots.",
		LongHelp:  "Example: skylarkstall report --out compare.html old.json new.json",
		Exec: func(_ context.Context, args []string) error {
			var results []*load.Result
			for _, path := range args {
				result, err := readResult(path)
				if err != nil {
					return err
				}
				results = append(results, result)
			}
			file, err := os.Create(*out)
			if err != nil {
				return fault.WrapAs(fault.Invalid, err, "--out")
			}
			defer func() { _ = file.Close() }() // a failed write has been reported
			return report.Write(file, results)
		},
	}
}

func readResult(path string) (*load.Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.WrapAs(fault.Invalid, err, "result")
	}
	var result load.Result
	if err := json.Unmarshal(data, &result); err != nil {
		return nil, fault.WrapAs(fault.Invalid, err, path)
	}
	return &result, nil
}
