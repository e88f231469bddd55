// Command pistachiod is pistachioport's daemon. It runs the roles of one VM.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	command "github.com/pistachioport/pistachioport/internal/command/daemon"
	"github.com/pistachioport/pistachioport/internal/daemon"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := command.Execute(ctx, os.Stdout, os.Stderr, os.Args[1:], daemon.Run, daemon.RunOnPlatform)
	stop()
	os.Exit(code)
}
