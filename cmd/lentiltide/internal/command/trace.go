package command

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/lentiltide/lentiltide/request/verdict"
)

// maxLogLineBytes limits the length of a log line; a longer one fails the command.
const maxLogLineBytes = 1 << 20

// traceLine is one decoded log line about a job.
type traceLine struct {
	// sortKey is the numeric time prefix of the line if it has one, otherwise its "time" field.
	sortKey string
	fields  map[string]any
}

// trace prints the log lines of several instances about a job, ordered by time.
func (c *command) trace(id string, files []string) error {
	var lines []traceLine
	for _, name := range files {
		found, err := c.readTraceLines(id, name)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "no log line names job %s", id)
	}
	slices.SortStableFunc(lines, func(a, b traceLine) int { return cmp.Compare(a.sortKey, b.sortKey) })
	for _, l := range lines {
		fmt.Fprintln(c.streams.Out, l.String())
	}
	return nil
}

// readTraceLines returns the lines of a log file, or of standard input if name is "-", that name the job.
func (c *command) readTraceLines(id, name string) ([]traceLine, error) {
	var in io.Reader = c.streams.In
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "read log")
		}
		defer f.Close()
		in = f
	}
	var lines []traceLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if l, ok := parseTraceLine(id, scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "read log %s", name)
	}
	return lines, nil
}

// parseTraceLine decodes a line and reports whether it is about the job. A log collector may have put text, such as a time,
// before the JSON.
func parseTraceLine(id string, line []byte) (traceLine, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 || !bytes.Contains(line, []byte(id)) {
		return traceLine{}, false
	}
	var fields map[string]any
	if json.Unmarshal(line[start:], &fields) != nil {
		return traceLine{}, false
	}
	for _, key := range []string{"job", "task", "step"} {
		value, _ := fields[key].(string)
		if value == id || strings.HasPrefix(value, id+".") {
			return traceLine{sortKeyOf(line[:start], fields), fields}, true
		}
	}
	return traceLine{}, false
}

// sortKeyOf returns the string by which a line is ordered. A numeric prefix is padded with zeros, so that it sorts as a
// number.
func sortKeyOf(prefix []byte, fields map[string]any) string {
	firstWord, _, _ := strings.Cut(strings.TrimSpace(string(prefix)), " ")
	var seconds float64
	if _, err := fmt.Sscanf(firstWord, "%f", &seconds); err == nil {
		return fmt.Sprintf("%020.6f", seconds+prefixOffsetSeconds)
	}
	timestamp, _ := fields["time"].(string)
	return timestamp
}

// prefixOffsetSeconds is added to numeric prefixes to keep times before the start of a recording, which are negative,
// positive, since padded negative numbers do not sort as numbers.
const prefixOffsetSeconds = 1e6

// String returns the time, instance and event, followed by the other fields sorted by name.
func (l traceLine) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v %v %v", l.fields["time"], l.fields["instance"], l.fields["event"])
	skip := map[string]bool{"time": true, "instance": true, "event": true, "msg": true, "level": true, "zone": true, "job": true}
	var names []string
	for name := range l.fields {
		if !skip[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}
