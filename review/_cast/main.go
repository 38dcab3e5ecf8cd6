// Command cast plays a case of the review: it starts the platform, the executors and the clients as stand-ins, and the instances of the
// system as separate processes, on loopback addresses and the real clock. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// scenario plays a case, with the disruption or without, and returns how the rule was broken; empty if it held.
type scenario func(c *cell, trouble bool) (broken string, err error)

// cast is a scenario with the executors that it needs.
type cast struct {
	play      scenario
	executors int
	kinds     []string
}

var casts = map[string]cast{
	"crashes": {playCrashes, 8, []string{"a", "a", "b"}},
	"lost":    {playLost, 8, []string{"a", "a", "b"}},
	"paced":   {playPaced, 12, []string{"c", "a", "a", "b", "a", "a", "b", "a", "a", "b", "a", "a"}},
	"pinned":  {playPinned, 8, []string{"c", "a", "a", "a", "b", "a", "a", "a"}},
	"waiting": {playWaiting, 12, []string{"c", "a", "a", "b", "a", "a", "b", "a", "a", "b", "a", "a"}},
	"waves":   {playWaves, 8, []string{"a", "a", "b"}},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cast CASE FOLDER, with CASE crashes, lost, paced, pinned, waiting or waves")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	chosen, ok := casts[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, disruption %v", name, trouble)
	c, err := newCell(rec, chosen.executors, chosen.kinds)
	if c != nil {
		defer c.close()
		go func() {
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
			<-signals
			c.close()
			os.Exit(2)
		}()
	}
	broken := ""
	if err == nil {
		c.configure(1)
		err = c.startNodes("target/lentiltide-node", 3)
	}
	if err == nil {
		err = c.awaitAccepting()
	}
	if err == nil {
		broken, err = chosen.play(c, trouble)
	}
	switch {
	case err != nil:
		rec.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken != "":
		rec.logf("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		return 1
	default:
		rec.logf("the rule held")
		fmt.Println("held")
		return 0
	}
}
