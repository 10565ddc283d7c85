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
		ShortHelp: "Tell from log files what became of a job.",
		LongHelp: help("Join the lines about a job from the logs of all processes, in the order of their times, with what the "+
			"processes lost and regained meanwhile, and end with the cause in one sentence. Reads standard input without files. "+
			"Fails when no line is about the job.", "skylarkstall explain 5c0e7a21d94b36f8 entry-1.log entry-2.log"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return fault.New(fault.Invalid, "no job id given; see skylarkstall explain --help")
			}
			story := explain.New(args[0])
			if err := readLogs(story, args[1:]); err != nil {
				return err
			}
			return printStory(a.out, story)
		},
	}
}

func readLogs(story *explain.History, files []string) error {
	if len(files) == 0 {
		return readLog(story, os.Stdin)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return fault.WrapAs(fault.Invalid, err, "read a log")
		}
		err = readLog(story, file)
		_ = file.Close() // it was only read
		if err != nil {
			return err
		}
	}
	return nil
}

// longestLine bounds a line of a log, in bytes.
const longestLine = 1 << 20

func readLog(story *explain.History, in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		story.Add(scanner.Text())
	}
	return fault.WrapAs(fault.Invalid, scanner.Err(), "read a log")
}

func printStory(out io.Writer, story *explain.History) error {
	lines := story.Lines()
	if len(lines) == 0 {
		return fault.New(fault.NotFound, "no line is about job %s", story.Job())
	}
	for _, line := range lines {
		fmt.Fprintln(out, line)
	}
	fmt.Fprintf(out, "\ncause: %s\n", strings.TrimSpace(story.Cause()))
	return nil
}
