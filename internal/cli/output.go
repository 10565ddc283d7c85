package cli

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/fault"
)

// operatorFlags are the flags of every command that asks a process.
type operatorFlags struct {
	address, token, output string

	formats []string // that the command prints, the first one by default
}

func (f *operatorFlags) register(fs *flag.FlagSet, formats ...string) {
	f.formats = formats
	fs.StringVar(&f.address, "address", "127.0.0.1:7070", "host:port of any process")
	fs.StringVar(&f.output, "output", formats[0], strings.Join(formats, " or "))
}

func (f *operatorFlags) registerToken(fs *flag.FlagSet) {
	fs.StringVar(&f.token, "token", "", "token of the team or the cell")
}

// check refuses an unknown format and arguments beyond those that the command takes.
func (f *operatorFlags) check(args []string, want ...string) error {
	if len(args) < len(want) {
		return fault.New(fault.Invalid, "argument %s is missing", want[len(args)])
	}
	if len(args) > len(want) {
		return fault.New(fault.Invalid, "argument %q is not expected; flags go before arguments", args[len(want)])
	}
	for _, format := range f.formats {
		if f.output == format {
			return nil
		}
	}
	return fault.New(fault.Invalid, "output %q: want %s", f.output, strings.Join(f.formats, " or "))
}

func (f *operatorFlags) client() *callerhttp.Client { return callerhttp.NewClient(f.address, f.token) }

// help returns the long help of a command with an example.
func help(text, example string) string { return text + "\n\nEXAMPLE\n  " + example }

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return fault.WrapAs(fault.Internal, encoder.Encode(value), "print")
}

// printTable prints rows in columns; the first row is the head.
func printTable(out io.Writer, rows [][]string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return fault.WrapAs(fault.Internal, w.Flush(), "print")
}

// printSilent says which processes are not in an answer about the whole cell.
func printSilent(out io.Writer, silent []string) {
	if len(silent) > 0 {
		fmt.Fprintf(out, "did not answer: %s\n", strings.Join(silent, ", "))
	}
}
