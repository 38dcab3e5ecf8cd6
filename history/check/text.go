package check

import (
	"fmt"
	"io"
)

// WriteText writes the report for people: a line for each sentence, then the breaks with their events.
func (r *Report) WriteText(w io.Writer) error {
	p := &printer{w: w}
	p.printf("%d events in %.1f s", r.Events, float64(r.SpanMS)/1000)
	if r.Source != "" {
		p.printf(" of %s", r.Source)
	}
	p.printf("\n")
	for _, s := range r.Sentences {
		p.printf("%-9s %-21s %6d tried  %s", s.Verdict, s.Name, s.Tried, s.Text)
		if s.Undecided > 0 {
			p.printf(" (%d undecided: the check took too long)", s.Undecided)
		}
		p.printf("\n")
	}
	for _, s := range r.Sentences {
		for i, b := range s.Breaks {
			p.printf("\n%s, break %d of %d: %s; lines 1 to %d show it\n", s.Name, i+1, s.Broken, b.Detail, b.Line)
			for _, e := range b.Events {
				p.printf("  line %d: %s\n", e.Line, e.Event)
			}
		}
	}
	if r.Incomplete != "" {
		p.printf("\nincomplete, checked up to %s\n", r.Incomplete)
	}
	return p.err
}

// printer writes until the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}
