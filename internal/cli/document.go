package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/adapter/document"
	"skylarkstall/internal/app/configsync"
	"skylarkstall/internal/domain/team"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/textdiff"
)

func (a *app) document() *ffcli.Command {
	fs := a.flags("skylarkstall document")
	return &ffcli.Command{
		Name: "document", ShortUsage: "skylarkstall document <command> [flags]", FlagSet: fs,
		ShortHelp: "Check, show and change the document of a team or the cell quotas.",
		Subcommands: []*ffcli.Command{
			a.documentCheck(), a.documentDiff(), a.documentApply(), a.documentGet(), a.documentHistory(),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return fault.New(fault.Invalid, "unknown command %q; see skylarkstall document --help", args[0])
			}
			return flag.ErrHelp
		},
	}
}

// documentFile is a document read from a file.
type documentFile struct {
	name   string // name of the team, or team.CellQuotasName
	token  string // token in the file; empty for cell quotas
	source []byte
}

// readDocumentFile reads and validates a file. It fails with NotFound, Invalid or TooLarge.
func readDocumentFile(path string, cell bool) (documentFile, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return documentFile{}, fault.WrapAs(fault.NotFound, err, "document")
	}
	if cell {
		_, err := document.DecodeCellQuotas(source)
		return documentFile{name: team.CellQuotasName, source: source}, fault.Wrap(err, "%s", path)
	}
	doc, err := document.Decode(source)
	return documentFile{string(doc.Team), doc.Token, source}, fault.Wrap(err, "%s", path)
}

// documentFlags are the flags of the commands that compare or apply a document file.
type documentFlags struct {
	operatorFlags
	cell bool
}

func (f *documentFlags) register(fs *flag.FlagSet) {
	f.operatorFlags.register(fs, "table", "json")
	f.registerToken(fs)
	fs.BoolVar(&f.cell, "cell", false, "the file holds cell quotas instead of a team's document")
}

// loadDocuments reads the file and fetches the active document. Without --token, the token in the file is sent. The
// revision is 0 if no document is active.
func (f *documentFlags) loadDocuments(ctx context.Context, path string) (documentFile, callerhttp.Document, error) {
	d, err := readDocumentFile(path, f.cell)
	if err != nil {
		return d, callerhttp.Document{}, err
	}
	if f.token == "" {
		f.token = d.token
	}
	current, err := f.client().Document(ctx, d.name)
	if fault.Is(err, fault.NotFound) {
		return d, callerhttp.Document{}, nil
	}
	return d, current, err
}

func (a *app) documentCheck() *ffcli.Command {
	fs := a.flags("skylarkstall document check")
	f := documentFlags{operatorFlags: operatorFlags{formats: []string{"table", "json"}}}
	fs.StringVar(&f.output, "output", "table", "table or json")
	fs.BoolVar(&f.cell, "cell", false, "the file holds cell quotas instead of a team's document")
	return &ffcli.Command{
		Name: "check", ShortUsage: "skylarkstall document check [flags] FILE", FlagSet: fs, Options: options(),
		ShortHelp: "Validate a document without contacting a process.",
		LongHelp: help("Validate a document without contacting a process. Fails when the document is not valid, and lists every "+
			"error with its line, or when the file cannot be read.", "skylarkstall document check vembanad.yaml"),
		Exec: func(_ context.Context, args []string) error {
			if err := f.validate(args, "FILE"); err != nil {
				return err
			}
			d, err := readDocumentFile(args[0], f.cell)
			if err != nil {
				return err
			}
			if f.output == "json" {
				return printJSON(a.out, map[string]any{"name": d.name, "valid": true})
			}
			fmt.Fprintf(a.out, "%s: the document of %s is valid\n", args[0], d.name)
			return nil
		},
	}
}

func (a *app) documentDiff() *ffcli.Command {
	fs := a.flags("skylarkstall document diff")
	var f documentFlags
	f.register(fs)
	return &ffcli.Command{
		Name: "diff", ShortUsage: "skylarkstall document diff [flags] FILE", FlagSet: fs, Options: options(),
		ShortHelp: "Show the difference between the document in force and a file.",
		LongHelp: help("Show the difference between the document in force and a file, with tokens hidden. Fails when the file is "+
			"not valid or the token is wrong.", "skylarkstall document diff --token T vembanad.yaml"),
		Exec: func(ctx context.Context, args []string) error {
			if err := f.validate(args, "FILE"); err != nil {
				return err
			}
			d, current, err := f.loadDocuments(ctx, args[0])
			if err != nil {
				return err
			}
			difference := diffText(current, d)
			switch {
			case f.output == "json":
				return printJSON(a.out, map[string]any{"revision": current.Revision, "difference": difference})
			case difference == "":
				fmt.Fprintf(a.out, "no difference from revision %d\n", current.Revision)
			default:
				fmt.Fprintf(a.out, "from revision %d to %s:\n%s", current.Revision, args[0], difference)
			}
			return nil
		},
	}
}

func diffText(current callerhttp.Document, d documentFile) string {
	return textdiff.Lines(current.Source, string(d.source), configsync.IsSecretLine)
}

func (a *app) documentGet() *ffcli.Command {
	fs := a.flags("skylarkstall document get")
	var f operatorFlags
	f.register(fs, "table", "json")
	f.registerToken(fs)
	return &ffcli.Command{
		Name: "get", ShortUsage: "skylarkstall document get [flags] TEAM", FlagSet: fs, Options: options(),
		ShortHelp: "Print the document in force for a team.",
		LongHelp: help("Print the document in force for a team, with its token, so that it can be edited; "+team.CellQuotasName+
			" stands for the cell quotas. Fails when the token is wrong or no document is in force.",
			"skylarkstall document get --token T vembanad > vembanad.yaml"),
		Exec: func(ctx context.Context, args []string) error {
			if err := f.validate(args, "TEAM"); err != nil {
				return err
			}
			reply, err := f.client().Document(ctx, args[0])
			switch {
			case err != nil:
				return err
			case f.output == "json":
				return printJSON(a.out, reply)
			}
			fmt.Fprint(a.out, reply.Source)
			return nil
		},
	}
}
