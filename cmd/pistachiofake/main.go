// Command pistachiofake runs fake workers and endpoints for the demo and the
// failure tests.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pistachioport/pistachioport/internal/command/fake"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return fake.Execute(ctx, os.Stdout, os.Stderr, os.Args[1:])
}
