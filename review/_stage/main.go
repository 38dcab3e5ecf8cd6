// Command stage plays the scripts of the review: the product's own program as separate processes, with stand-ins for the platform's
// store, its executors, its machines and its clients. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// playLimit ends a case that takes too long.
const playLimit = 115 * time.Second

// play is a case. It returns what broke the rule, empty if nothing did.
type play func(s *system, trouble bool) (breaks []string, err error)

var plays = map[string]play{
	"many-ends":        playManyEnds,
	"cancel-unknown":   playCancelUnknown,
	"upkeep-same-id":   playUpkeepSameID,
	"upkeep-handover":  playUpkeepHandover,
	"executor-cut-off": playExecutorCutOff,
	"late-hold":        playLateHold,
	"paced-task":       playPacedTask,
	"upkeep-replay":    playUpkeepReplay,
	"scheduled":        playScheduled,
	"executors-crash":  playExecutorsCrash,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Println("usage: stage CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

// run plays a case and writes record.txt in its folder.
func run(p play, folder string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.close()
	s, err := newSystem(rec)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer s.close()
	type outcome struct {
		breaks []string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		breaks, err := p(s, trouble)
		done <- outcome{breaks, err}
	}()
	var out outcome
	select {
	case out = <-done:
	case <-time.After(playLimit):
		out.err = fmt.Errorf("the case took too long")
	}
	if out.err != nil {
		rec.note("could not run: %v", out.err)
		return 2
	}
	if len(out.breaks) == 0 {
		rec.note("the rule held")
		return 0
	}
	rec.note("the rule was broken %d times", len(out.breaks))
	for _, b := range out.breaks[:min(len(out.breaks), 10)] {
		rec.note("broken: %s", b)
	}
	return 1
}
