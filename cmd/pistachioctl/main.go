// Command pistachioctl is pistachioport's command-line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pistachioport/pistachioport/internal/command"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	environment := command.Environment{Out: os.Stdout, Err: os.Stderr, LookupEnv: os.LookupEnv}
	return command.Execute(ctx, environment, os.Args[1:])
}
