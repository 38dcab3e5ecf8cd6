package main

import (
	"flag"
	"fmt"
	"os"
)

// outcome is the exit code of a case.
type outcome int

const (
	kept   outcome = 0
	broken outcome = 1
	notRun outcome = 2
)

var cases = map[string]func(r *record, trouble bool) (outcome, error){
	"poison-count": playPoisonCount,
	"wave":         playWave,
	"lost-pair":    playLostPair,
	"stuck":        playStuck,
	"backlog":      playBacklog,
}

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(int(play(*name, *out)))
}

func play(name, out string) outcome {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return notRun
	}
	r, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, with the disturbance: %v", name, trouble)
	result, err := f(r, trouble)
	if err != nil {
		r.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	r.printf("result: %d (0 kept, 1 broken)", result)
	return result
}
