package history

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxLineBytes is the maximum length of a line.
const MaxLineBytes = 1 << 20

// maxTimeUS is the largest time of an event: ten years.
const maxTimeUS = 10 * 365 * 24 * 3600 * 1_000_000

// Errors of a Reader. They are wrapped in a LineError.
var (
	ErrNoHistory  = errors.New("not a history: the first line is not its header")
	ErrSchema     = errors.New("unsupported schema version")
	ErrCutOff     = errors.New("the line is cut off")
	ErrOversized  = errors.New("the line is too long")
	ErrMalformed  = errors.New("the line is not an event")
	ErrOutOfOrder = errors.New("the event is earlier than the one before it")
)

// LineError is an error in a line of a history.
type LineError struct {
	// Line is the number of the line, counting from 1 for the header.
	Line int
	Err  error
}

// Error returns the line and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// Reader reads a history event by event. It holds one line at a time.
type Reader struct {
	lines  *bufio.Reader
	header Header
	line   int
	lastUS int64
	err    error
}

// NewReader reads the header. The error is a *LineError that wraps ErrNoHistory or ErrSchema, or an error of r.
func NewReader(r io.Reader) (*Reader, error) {
	h := &Reader{lines: bufio.NewReaderSize(r, MaxLineBytes)}
	text, err := h.readLine()
	if err != nil && err != io.EOF {
		return nil, err
	}
	if json.Unmarshal(text, &h.header) != nil || h.header.Format != formatName {
		return nil, &LineError{Line: 1, Err: ErrNoHistory}
	}
	if h.header.Schema != SchemaVersion {
		return nil, &LineError{Line: 1, Err: fmt.Errorf("%w: version %d, expected %d", ErrSchema, h.header.Schema, SchemaVersion)}
	}
	return h, nil
}

// Header returns the header.
func (r *Reader) Header() Header { return r.header }

// Line returns the number of the line that was read last.
func (r *Reader) Line() int { return r.line }

// Next returns the next event, or io.EOF at the end of the file. Other errors are a *LineError that wraps ErrCutOff, ErrOversized,
// ErrMalformed or ErrOutOfOrder, or an error of the underlying reader. After an error, Next returns it again.
func (r *Reader) Next() (Event, error) {
	if r.err != nil {
		return Event{}, r.err
	}
	e, err := r.next()
	r.err = err
	return e, err
}

func (r *Reader) next() (Event, error) {
	text, err := r.readLine()
	last := err == io.EOF
	if err != nil && !last {
		return Event{}, err
	}
	if last && len(text) == 0 {
		r.line--
		return Event{}, io.EOF
	}
	var e Event
	switch err := json.Unmarshal(text, &e); {
	case err != nil && last:
		return Event{}, &LineError{Line: r.line, Err: ErrCutOff}
	case err != nil:
		return Event{}, &LineError{Line: r.line, Err: fmt.Errorf("%w: %w", ErrMalformed, err)}
	case !e.hasDetails():
		return Event{}, &LineError{Line: r.line, Err: fmt.Errorf("%w: kind %q without its details", ErrMalformed, e.Kind)}
	case e.AtUS > maxTimeUS:
		return Event{}, &LineError{Line: r.line, Err: fmt.Errorf("%w: a time of %d microseconds", ErrMalformed, e.AtUS)}
	case e.AtUS < r.lastUS:
		return Event{}, &LineError{Line: r.line, Err: fmt.Errorf("%w: %d after %d microseconds", ErrOutOfOrder, e.AtUS, r.lastUS)}
	}
	r.lastUS = e.AtUS
	return e, nil
}

// readLine returns the next line without its newline. The slice is valid until the next call. The error is io.EOF, with what
// remains, if the file ends without a newline.
func (r *Reader) readLine() ([]byte, error) {
	r.line++
	text, err := r.lines.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, &LineError{Line: r.line, Err: fmt.Errorf("%w: more than %d bytes", ErrOversized, MaxLineBytes)}
	case err != nil:
		return text, err
	}
	return bytes.TrimSuffix(text, []byte("\n")), nil
}
