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
	addresses := fs.String("addresses", "127.0.0.1:7070", "host:port of the processes, comma-separated")
	tokens := fs.String("tokens", "vembanad=vembanad-dev-token,goldfields=goldfields-dev-token", "tokens as team=token, comma-separated")
	profile := fs.String("profile", "shift", "load profile: shift, rush, overnight, heavy-tail or overload")
	seed := fs.Uint64("seed", 1, "seed of the random arrivals")
	factor := fs.Float64("load", 1, "factor for the arrival rates of the profile, which suit a cell of 48 slots")
	label := fs.String("label", "run", "label of the result")
	out := fs.String("out", "", "file for the JSON result; empty for none")
	return &ffcli.Command{
		Name: "load", ShortUsage: "skylarkstall load [flags]", FlagSet: fs, Options: options(),
		ShortHelp: "Send requests of a load profile to running processes and measure their wait times.",
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
				return fault.New(fault.Invalid, "load %v: want above 0 and at most 100", *factor)
			}
			result, err := load.Run(ctx, load.Settings{
				Addresses: strings.Split(*addresses, ","), Tokens: teams, Profile: p, Seed: *seed, LoadFactor: *factor,
				Label: *label, Progress: a.errOut,
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
			return nil, fault.New(fault.Invalid, "--tokens: want team=token, comma-separated")
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
		return fault.WrapAs(fault.Internal, err, "encode result")
	}
	return fault.WrapAs(fault.Invalid, os.WriteFile(path, data, 0o600), "--out")
}

func (a *app) report() *ffcli.Command {
	fs := a.flags("skylarkstall report")
	out := fs.String("out", "report.html", "file for the HTML page")
	return &ffcli.Command{
		Name: "report", ShortUsage: "skylarkstall report [flags] result.json...", FlagSet: fs, Options: options(),
		ShortHelp: "Write an HTML page with plots that compares results of skylarkstall load.",
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
			defer func() { _ = file.Close() }() // write errors are reported by report.Write
			return report.Write(file, results)
		},
	}
}

func readResult(path string) (*load.Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.WrapAs(fault.Invalid, err, "read result")
	}
	var result load.Result
	if err := json.Unmarshal(data, &result); err != nil {
		return nil, fault.WrapAs(fault.Invalid, err, path)
	}
	return &result, nil
}
