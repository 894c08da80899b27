package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenarios are the cases by their names. An error means that the case could not run.
var scenarios = map[string]func(*rig) error{
	"joined":  playJoined,
	"untold":  playUntold,
	"twice":   playTwice,
	"drill":   playDrill,
	"resumed": playResumed,
}

func main() {
	program := flag.String("program", "target/egretwall", "the program of the project")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	logs := flag.String("logs", "", "directory for settings and logs, a temporary one if empty")
	flag.Parse()
	os.Exit(play(*program, *record, *logs, flag.Arg(0)))
}

func play(program, record, logs, name string) int {
	scenario, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown scenario %q\n", name)
		return exitFailed
	}
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = out.Close() }()
	g := &rig{program: program, trouble: os.Getenv("TROUBLE") != "0", out: out, started: time.Now(), dir: logs, loadTime: time.Second}
	if g.dir == "" {
		if g.dir, err = os.MkdirTemp("", "rig2-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
		defer func() { _ = os.RemoveAll(g.dir) }()
	}
	defer func() {
		for _, p := range g.processes {
			p.kill()
		}
	}()
	if err = g.choosePorts(); err == nil {
		if g.store, err = newStore("127.0.0.1:0"); err == nil {
			err = scenario(g)
		}
	}
	if err != nil {
		g.record("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	}
	if len(g.broken) > 0 {
		fmt.Println("broken:", g.broken[0])
		return exitBroken
	}
	g.record("rule held")
	fmt.Println("held")
	return exitHeld
}
