// Package check decides from a history alone whether the rules of the platform were kept. It knows nothing of the code that
// produced the history.
package check

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/history"
)

// Verdict is the result of the check of a sentence.
type Verdict string

// The verdicts of sentences.
const (
	Kept   Verdict = "kept"
	Broken Verdict = "broken"
	// NotTried means that no event touched the sentence.
	NotTried Verdict = "not tried"
)

// maxBreaks is the number of breaks of a sentence that are reported in full.
const maxBreaks = 10

// maxBreakEvents is the number of events of a break that are reported: the first and the last ones.
const maxBreakEvents = 12

// Report is the result of the check of a history.
type Report struct {
	Source string `json:"source,omitempty"`
	// Events is the number of events that were checked, and SpanMS the time of the last one in milliseconds.
	Events int   `json:"events"`
	SpanMS int64 `json:"span_ms"`
	// Incomplete says why the verdict holds for a prefix of the history only; empty if the history is complete.
	Incomplete string           `json:"incomplete,omitempty"`
	Sentences  []SentenceReport `json:"sentences"`
}

// SentenceReport is the result of the check of one sentence.
type SentenceReport struct {
	Name    string  `json:"name"`
	Text    string  `json:"text"`
	Verdict Verdict `json:"verdict"`
	// Tried is how many times the history could have broken the sentence, and Broken how many times it has.
	Tried  int `json:"tried"`
	Broken int `json:"broken"`
	// Undecided is how many checks took too long.
	Undecided int     `json:"undecided,omitempty"`
	Breaks    []Break `json:"breaks,omitempty"`
}

// Break is one way in which a history breaks a sentence.
type Break struct {
	Detail string `json:"detail"`
	// Line is the last line of the shortest prefix of the history that breaks the sentence.
	Line   int    `json:"line"`
	Events []Line `json:"events"`
}

// Line is a line of the history.
type Line struct {
	Line int `json:"line"`
	// Event is the text of the event.
	Event string `json:"event"`

	at time.Duration
}

// BrokenSentences returns the names of the sentences that are broken.
func (r *Report) BrokenSentences() []string {
	var out []string
	for _, s := range r.Sentences {
		if s.Verdict == Broken {
			out = append(out, s.Name)
		}
	}
	return out
}

// result collects what is found about a sentence.
type result struct {
	sentence  *sentence
	tried     int
	count     int
	undecided int
	breaks    []Break
}

// broken records a break that the events show. The last line of the shortest prefix is the last of them.
func (k *checker) broken(r *result, detail string, events ...ref) {
	r.count++
	if len(r.breaks) >= maxBreaks {
		return
	}
	slices.SortFunc(events, func(a, b ref) int { return a.line - b.line })
	events = slices.Compact(events)
	events = slices.DeleteFunc(events, func(e ref) bool { return !e.known() })
	b := Break{Detail: detail, Line: events[len(events)-1].line}
	if len(events) > maxBreakEvents {
		events = slices.Concat(events[:maxBreakEvents/2], events[len(events)-maxBreakEvents/2:])
	}
	for _, e := range events {
		b.Events = append(b.Events, Line{Line: e.line, at: e.at})
	}
	r.breaks = append(r.breaks, b)
}

// File checks a history and reads it a second time for the events of the breaks, if there are any. The error is one of
// history.NewReader or of the file; a damaged history gives a verdict on what precedes the damage.
func File(f io.ReadSeeker) (*Report, error) {
	reader, err := history.NewReader(f)
	if err != nil {
		return nil, err
	}
	k := newChecker()
	report := &Report{Source: reader.Header().Source}
	if report.Incomplete, err = k.readAll(reader, &report.Events); err != nil {
		return nil, err
	}
	report.SpanMS = k.now.at.Milliseconds()
	if report.Incomplete == "" {
		k.finish()
	}
	for _, r := range k.results {
		report.Sentences = append(report.Sentences, r.report())
	}
	return report, report.readEvents(f)
}

// readAll observes the events of a history. It returns why it ends before the end, empty if the history is complete.
func (k *checker) readAll(reader *history.Reader, events *int) (incomplete string, err error) {
	for {
		e, err := reader.Next()
		var line *history.LineError
		switch {
		case err == io.EOF:
			return fmt.Sprintf("line %d: the history ends without its closing event", reader.Line()), nil
		case errors.As(err, &line):
			return line.Error(), nil
		case err != nil:
			return "", err
		case e.Kind == history.KindClosed:
			// The time of the closing event ends the last waits.
			k.observe(reader.Line(), &e)
			return "", nil
		case e.Kind == history.KindGap:
			return fmt.Sprintf("line %d: %d events were dropped", reader.Line(), e.Gap.Dropped), nil
		}
		*events++
		k.observe(reader.Line(), &e)
	}
}

// finish checks the sentences that need a complete history.
func (k *checker) finish() {
	for _, r := range k.results {
		if r.sentence.final != nil {
			r.sentence.final(k, r)
		}
	}
}

func (r *result) report() SentenceReport {
	s := SentenceReport{
		Name: r.sentence.name, Text: r.sentence.text, Verdict: Kept,
		Tried: max(r.tried, r.count), Broken: r.count, Undecided: r.undecided, Breaks: r.breaks,
	}
	switch {
	case r.count > 0:
		s.Verdict = Broken
	case r.tried == 0:
		s.Verdict = NotTried
	}
	return s
}

// readEvents fills in the events of the breaks.
func (r *Report) readEvents(f io.ReadSeeker) error {
	wanted := map[int][]*Line{}
	for _, s := range r.Sentences {
		for _, b := range s.Breaks {
			for i := range b.Events {
				wanted[b.Events[i].Line] = append(wanted[b.Events[i].Line], &b.Events[i])
			}
		}
	}
	if len(wanted) == 0 {
		return nil
	}
	if _, err := f.Seek(0, io.SeekStart); err != nil {
		return err
	}
	reader, err := history.NewReader(f)
	if err != nil {
		return err
	}
	for len(wanted) > 0 {
		e, err := reader.Next()
		if err != nil {
			return err
		}
		for _, line := range wanted[reader.Line()] {
			line.Event = e.String()
		}
		delete(wanted, reader.Line())
	}
	return nil
}
