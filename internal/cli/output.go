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

// operatorFlags are the flags that all commands that query a process have in common.
type operatorFlags struct {
	address, token, output string

	formats []string // supported output formats; the first is the default
}

func (f *operatorFlags) register(fs *flag.FlagSet, formats ...string) {
	f.formats = formats
	fs.StringVar(&f.address, "address", "127.0.0.1:7070", "host:port of any process")
	fs.StringVar(&f.output, "output", formats[0], strings.Join(formats, " or "))
}

func (f *operatorFlags) registerToken(fs *flag.FlagSet) {
	fs.StringVar(&f.token, "token", "", "token of the team or the cell")
}

// validate rejects an unknown output format and missing or unexpected arguments.
func (f *operatorFlags) validate(args []string, want ...string) error {
	if len(args) < len(want) {
		return fault.New(fault.Invalid, "argument %s is missing", want[len(args)])
	}
	if len(args) > len(want) {
		return fault.New(fault.Invalid, "unexpected argument %q; flags go before arguments", args[len(want)])
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

// printTable prints rows in aligned columns; the first row is the header.
func printTable(out io.Writer, rows [][]string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return fault.WrapAs(fault.Internal, w.Flush(), "print")
}

// printUnresponsive lists the processes that did not respond and are missing in the output about the cell.
func printUnresponsive(out io.Writer, unresponsive []string) {
	if len(unresponsive) > 0 {
		fmt.Fprintf(out, "did not respond: %s\n", strings.Join(unresponsive, ", "))
	}
}
