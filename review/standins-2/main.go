//go:build ignore

// Command review2 holds the stand-ins and the scripts of the second review. Each stand-in is a process of its own:
//
//	review2 store ADDRESS
//	review2 worker ID ADDRESS LISTEN RACK KIND STORE CPU MEM
//	review2 relay LISTEN TARGET
//	review2 case NAME
package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldNot   = 2
)

var cases = map[string]func(*deployment) (broken bool, err error){}

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: review2 store|worker|relay|case ...")
		os.Exit(couldNot)
	}
	switch args := os.Args[2:]; os.Args[1] {
	case "store":
		s := newStore()
		go s.expire()
		fmt.Fprintln(os.Stderr, http.ListenAndServe(args[0], s))
	case "worker":
		cpu, _ := strconv.ParseInt(args[6], 10, 64)
		mem, _ := strconv.ParseInt(args[7], 10, 64)
		w := newWorker(args[0], args[1], args[3], args[4], args[5], cpu, mem)
		w.note("life begins")
		go w.beat()
		go w.lapse()
		fmt.Fprintln(os.Stderr, http.ListenAndServe(args[2], w))
	case "relay":
		fmt.Fprintln(os.Stderr, runRelay(args[0], args[1]))
	case "case":
		os.Exit(runCase(args[0]))
	}
	os.Exit(couldNot)
}
