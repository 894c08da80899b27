// Package main runs one case of the third review: the project's processes on stand-ins of its
// own.
//
// Usage: rig3 CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// rig is what a case works with.
type rig struct {
	*deployment
	*clients
	rec     *record
	trouble bool
}

// cases by name. Each returns what broke the rule, empty if it held.
var cases = map[string]func(*rig) (string, error){
	"gone":    gone,
	"split":   split,
	"deadly":  deadly,
	"denied":  denied,
	"limited": limited,
}

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE PROGRAM RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	d, err := newDeployment(os.Args[2], rec)
	if err != nil {
		rec.say("not run: %v", err)
		return 2
	}
	defer d.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	var broken string
	done := make(chan struct{})
	go func() {
		defer close(done)
		broken, err = cases[os.Args[1]](&rig{deployment: d, clients: newClients(rec), rec: rec, trouble: os.Getenv("TROUBLE") != "0"})
	}()
	select {
	case <-done:
	case <-stop:
		broken, err = "", errors.New("stopped by a signal")
	}
	switch {
	case err != nil:
		rec.say("not run: %v", err)
		return 2
	case broken != "":
		rec.say("BROKEN: %s", broken)
		return 1
	}
	rec.say("held")
	return 0
}

func main() { os.Exit(run()) }
