// Command standin plays one case of the review: it starts the daemons as the platform does, with
// minions, an operator and consumers that follow PROTOCOL.md, and checks one rule.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit ends a case that hangs. A script may take 120 s.
const limit = 112 * time.Second

// play plays a case and returns what broke the rule.
type play func(c *cell, trouble bool) (broken []string, err error)

var cases = map[string]play{
	"replaced":   playReplaced,
	"resets":     playResets,
	"ends":       playEnds,
	"lasting":    playLasting,
	"completed":  playCompleted,
	"quarantine": playQuarantine,
}

func main() { os.Exit(run1()) }

func run1() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, in the repository's root")
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	c, err := newCell(rec, root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer c.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, disruption %v", os.Args[1], trouble)

	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := playFrom(c, cases[os.Args[1]], trouble)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var r result
	select {
	case r = <-done:
	case <-signals:
		r.err = errors.New("stopped by a signal")
	case <-time.After(limit):
		r.err = errors.New("it took too long")
	}
	switch {
	case r.err != nil:
		rec.logf("could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return 2
	case len(r.broken) > 0:
		for _, line := range r.broken {
			rec.logf("BROKEN %s", line)
		}
		fmt.Printf("broken (%d): %s\n", len(r.broken), r.broken[0])
		return 1
	default:
		rec.logf("the rule held")
		fmt.Println("held")
		return 0
	}
}

// playFrom starts the daemons, publishes the manifest and plays the case.
func playFrom(c *cell, p play, trouble bool) ([]string, error) {
	if err := c.start(); err != nil {
		return nil, err
	}
	if err := c.publish(manifest()); err != nil {
		return nil, err
	}
	return p(c, trouble)
}
