package command

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lentiltide/lentiltide/history/check"
)

// Errors of the check of a history.
var (
	errBroken     = errors.New("the history breaks sentences of the rules")
	errUnreadable = errors.New("the history cannot be read to its end")
)

// check checks a recorded history and prints the report. The error wraps errBroken if a sentence is broken, and errUnreadable if the
// history cannot be read or is incomplete.
func (c *command) check(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Mark(err, errUnreadable)
	}
	defer f.Close()
	report, err := check.File(f)
	if err != nil {
		return errors.Mark(errors.Wrap(err, name), errUnreadable)
	}
	if c.args.JSON {
		err = c.printJSON(report)
	} else {
		err = report.WriteText(c.streams.Out)
	}
	switch broken := report.BrokenSentences(); {
	case err != nil:
		return err
	case len(broken) > 0:
		return errors.Mark(errors.Newf("%s breaks %s", name, strings.Join(broken, ", ")), errBroken)
	case report.Incomplete != "":
		return errors.Mark(errors.Newf("%s: incomplete, checked up to %s", name, report.Incomplete), errUnreadable)
	}
	return nil
}

// checkExitCode returns the exit code of an error of check, and false for other errors.
func checkExitCode(err error) (code int, ok bool) {
	switch {
	case errors.Is(err, errBroken):
		return exitBroken, true
	case errors.Is(err, errUnreadable):
		return exitUnreadable, true
	}
	return 0, false
}
