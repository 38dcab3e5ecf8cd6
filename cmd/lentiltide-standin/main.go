// Command lentiltide-standin serves a stand-in platform and stand-in workers for trying lentiltide on one machine. It
// keeps all state in memory and is not for production.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/standin/cell"
	standinworker "github.com/lentiltide/lentiltide/standin/worker"
)

type arguments struct {
	Listen   string   `arg:"--listen" default:"127.0.0.1:7400" help:"host:port of the platform's services"`
	Workers  int      `arg:"--workers" default:"8" help:"number of workers"`
	PerRack  int      `arg:"--per-rack" default:"4" help:"workers in a rack"`
	CPUMilli int64    `arg:"--cpu-milli" default:"16000" help:"processor time of a worker, thousandths of a core"`
	Memory   int64    `arg:"--memory-mib" default:"65536" help:"memory of a worker, MiB"`
	Region   string   `arg:"--region" default:"estonia" help:"region of the workers"`
	Zones    []string `arg:"--zones" help:"availability zones, used in turn for the racks"`
}

// Description returns the description in the help text; go-arg calls it.
func (arguments) Description() string {
	return "lentiltide-standin serves a stand-in platform and workers for trying lentiltide on one machine."
}

func main() {
	args := arguments{Zones: []string{"tallinn-port", "tallinn-yard", "maardu"}}
	arg.MustParse(&args)
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	c, err := cell.Start(cell.Options{
		Listen: args.Listen, Workers: args.Workers, PerRack: args.PerRack, Zones: args.Zones, Region: args.Region,
		Capacity: model.Resources{CPUMilli: args.CPUMilli, MemoryMiB: args.Memory, Slots: 8, Connections: 60},
		Behave:   taskBehavior,
	})
	if err != nil {
		log.WithError(err).Error("cannot start the stand-in platform")
		os.Exit(1)
	}
	defer c.Close()
	log.WithFields(logrus.Fields{"url": c.URL, "workers": args.Workers}).Info("stand-in platform started")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	counts := c.Observer.Counts()
	log.WithFields(logrus.Fields{
		"tasks_started": counts.TasksStarted, "tasks_finished": counts.TasksFinished, "double_runs": counts.DoubleRuns,
		"reruns": counts.Reruns, "overcommits": counts.Overcommits, "faults": c.Observer.Faults(),
	}).Info("stand-in platform stopping; totals observed by the workers")
}

// taskBehavior makes calls answer with their payload after a fixed prefix; other tasks run as their spec declares.
func taskBehavior(task model.Task) standinworker.Behavior {
	b := standinworker.DefaultBehavior(task)
	if task.Kind == model.KindCall {
		b.Answer = append([]byte("done: "), task.Payload...)
	}
	return b
}
