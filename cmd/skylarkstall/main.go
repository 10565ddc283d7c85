// Command skylarkstall is a cluster scheduler for teams that share a pool of VMs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"skylarkstall/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(cli.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
