//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// cases maps the names of the cases to their functions, which return whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"schedule": runSchedule,
	"cancel":   runCancel,
	"pending":  runPending,
	"large":    runLarge,
	"rack":     runRack,
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder for record.txt")
	binary := flag.String("daemon", "target/teaselloft", "program of the daemons")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitFailed
	}
	record, err := newRecord(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("case %s, trouble %t", *name, trouble)
	w, err := newWorld(*binary, record)
	if err != nil {
		record.add("cannot run: %v", err)
		record.close()
		return exitFailed
	}
	defer w.close()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		<-signals
		record.add("cannot run: ended by a signal")
		record.close()
		w.close()
		os.Exit(exitFailed)
	}()
	broken, err := play(w, trouble)
	defer record.close() // before the executors end
	switch {
	case err != nil:
		record.add("cannot run: %v", err)
		return exitFailed
	case broken:
		record.add("result: the rule was broken")
		return exitBroken
	}
	record.add("result: the rule held")
	return exitHeld
}
