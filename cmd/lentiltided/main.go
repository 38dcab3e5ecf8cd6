// Command lentiltided runs one entry instance of the cluster scheduler. All instances of a cell run the same program; the
// addresses and the availability zone come from the settings file.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide"
	"github.com/lentiltide/lentiltide/process/settings"
	"github.com/lentiltide/lentiltide/process/telemetry"
)

type arguments struct {
	Settings string `arg:"--settings,required" help:"path of the JSON settings file"`
}

// Description returns the description in the help text; go-arg calls it.
func (arguments) Description() string {
	return "lentiltided runs one entry instance of the lentiltide cluster scheduler."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	log := telemetry.NewLogger(os.Stderr, logrus.InfoLevel)
	telemetry.RedirectKratosLog(log)
	if err := run(args, log); err != nil {
		log.WithError(err).Error("instance failed")
		os.Exit(1)
	}
}

// run serves until the first SIGTERM or SIGINT, then shuts down gracefully. A second signal ends the process at once
// with exit code 2.
func run(args arguments, log *logrus.Logger) error {
	s, err := settings.Load(args.Settings)
	if err != nil {
		return err
	}
	log.SetLevel(s.Level())
	entry := log.WithFields(logrus.Fields{"instance": s.Instance, "zone": s.Zone})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	in, err := lentiltide.Start(lentiltide.Options{Settings: s, Log: entry, Seed: uint64(os.Getpid())})
	if err != nil {
		return err
	}
	entry.WithField("url", in.URL()).Info("instance started")
	<-signals
	entry.Info("shutting down")
	go func() {
		<-signals
		os.Exit(2)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), s.ShutdownTimeout())
	defer cancel()
	if err := in.Shutdown(ctx); err != nil {
		return err
	}
	entry.Info("stopped")
	return nil
}
