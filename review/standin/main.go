// Command review-standin plays one case of the review: it starts stand-ins for the users' platform and three daemons of
// the project as separate processes, sends the traffic of the case and checks one rule.
//
// It exits with 0 if the rule held, with 1 if it was broken and with 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxDuration ends a case that takes too long.
const maxDuration = 110 * time.Second

// cases maps the name of a case to the function that plays it. The function returns the violations of the rule.
var cases = map[string]func(ctx context.Context, s *site, trouble bool) ([]string, error){
	"lasting": playLasting,
	"route":   playRoute,
	"ends":    playEnds,
	"gang":    playGang,
	"poison":  playPoison,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	logs := flag.String("logs", "", "folder for the logs of the daemons; removed with the temporary folder if empty")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return 2
	}
	rec, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if *logs == "" {
		*logs = dir
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	rootPath, err := filepath.Abs(*root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s := newSite(rec, rootPath, dir, *logs)
	defer s.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %v", *name, trouble)
	violations, err := play(ctx, s, trouble)
	if err != nil || ctx.Err() != nil {
		rec.line("the case could not run: %v %v", err, ctx.Err())
		fmt.Fprintf(os.Stderr, "the case could not run: %v %v\n", err, ctx.Err())
		return 2
	}
	for _, v := range violations {
		rec.line("VIOLATION %s", v)
		fmt.Println("violation:", v)
	}
	rec.line("violations: %d", len(violations))
	if len(violations) > 0 {
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
