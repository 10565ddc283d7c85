// Command standins plays a case of the review: it starts processes of the program, with stand-ins of the platform, the workers
// and the clients, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// trouble reports whether the disruption happens.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// check ends the script with 2 after an error of the harness.
func check(err error) {
	if err != nil {
		giveUp("%v", err)
	}
}

var current *cell // is closed before the script ends

func giveUp(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	if current != nil {
		current.close()
	}
	os.Exit(2)
}

func main() {
	cases := map[string]func(*recorder) bool{"ends": manyEnds, "load": slowLoad, "cancel": cancelUnknown, "flap": flappingWorker}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		giveUp("usage: standins CASE FOLDER")
	}
	rec := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	broken := cases[os.Args[1]](rec)
	current.close()
	rec.close()
	if broken {
		os.Exit(1)
	}
}
