package cli

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkstall/internal/explain"
	"skylarkstall/internal/fault"
)

func (a *app) explain() *ffcli.Command {
	fs := a.flags("skylarkstall explain")
	return &ffcli.Command{
		Name: "explain", ShortUsage: "skylarkstall explain ID [FILE...]", FlagSet: fs, Options: options(),
		ShortHelp: "Reconstruct the history of a job from log files.",
		LongHelp: help("Merge the log lines about a job from the logs of all processes in order of time, together with relevant "+
			"state changes of the processes such as a lost store or leadership, and print the cause in one sentence. Reads "+
			"standard input if no file is given. Fails when no line is about the job.",
			"skylarkstall explain 5c0e7a21d94b36f8 entry-1.log entry-2.log"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return fault.New(fault.Invalid, "job id is missing; see skylarkstall explain --help")
			}
			history := explain.New(args[0])
			if err := readLogs(history, args[1:]); err != nil {
				return err
			}
			return printJobHistory(a.out, history)
		},
	}
}

func readLogs(history *explain.History, files []string) error {
	if len(files) == 0 {
		return readLog(history, os.Stdin)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return fault.WrapAs(fault.Invalid, err, "open log file")
		}
		err = readLog(history, file)
		_ = file.Close() // opened for reading only
		if err != nil {
			return err
		}
	}
	return nil
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

func readLog(history *explain.History, in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		history.Add(scanner.Text())
	}
	return fault.WrapAs(fault.Invalid, scanner.Err(), "read log file")
}

func printJobHistory(out io.Writer, history *explain.History) error {
	lines := history.Lines()
	if len(lines) == 0 {
		return fault.New(fault.NotFound, "no log line about job %s", history.Job())
	}
	for _, line := range lines {
		fmt.Fprintln(out, line)
	}
	fmt.Fprintf(out, "\ncause: %s\n", strings.TrimSpace(history.Cause()))
	return nil
}
