// Command lentiltide is the operators' command-line client of the cluster scheduler.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide/cmd/lentiltide/internal/command"
	"github.com/lentiltide/lentiltide/process/telemetry"
)

func main() {
	telemetry.RedirectKratosLog(telemetry.NewLogger(io.Discard, logrus.ErrorLevel))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := command.Main(ctx, os.Args[1:], command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
