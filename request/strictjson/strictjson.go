// Package strictjson decodes JSON and reports every member that does not belong: unknown and duplicate names, values of a
// wrong type, invalid UTF-8 and trailing data. Names are compared exactly. Each problem carries the path of the member.
// It has no state.
package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

const (
	// maxDepth bounds the nesting of a document, so that a small body cannot exhaust the stack.
	maxDepth = 32
	// maxProblems bounds the problems of one document; all further ones are left out.
	maxProblems = 50
)

// Problem is one thing that is wrong with a document.
type Problem struct {
	// Path is the path of the member, such as each.cpu_milli; empty for the document itself.
	Path string
	// Message says what was expected.
	Message string
}

// String returns path and message.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// Decode decodes one JSON value into out, a pointer. out is changed only where no problem is found.
func Decode(data []byte, out any) []Problem {
	if !utf8.Valid(data) {
		return []Problem{{Message: "expected valid UTF-8"}}
	}
	w := &walker{dec: json.NewDecoder(bytes.NewReader(data))}
	w.dec.UseNumber()
	err := w.value("", reflect.TypeOf(out).Elem(), 0)
	if err == nil {
		if _, tail := w.dec.Token(); !errors.Is(tail, io.EOF) {
			err = errors.New("expected one JSON value and nothing after it")
		}
	}
	if err != nil {
		w.report("", "%s", syntaxMessage(err))
	}
	if len(w.problems) > 0 {
		return w.problems
	}
	if err := json.Unmarshal(data, out); err != nil {
		return []Problem{{Message: err.Error()}}
	}
	return nil
}

func syntaxMessage(err error) string {
	var syntax *json.SyntaxError
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return "expected a JSON value, but the document ends early"
	case errors.As(err, &syntax):
		return fmt.Sprintf("expected JSON: %s at byte %d", syntax, syntax.Offset)
	default:
		return err.Error()
	}
}

// walker compares the tokens of a document with a type.
type walker struct {
	dec      *json.Decoder
	problems []Problem
}

func (w *walker) report(path, format string, args ...any) {
	if len(w.problems) < maxProblems {
		w.problems = append(w.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
	}
}

// value checks the next value against a type; a nil type accepts anything. The error is one of syntax.
func (w *walker) value(path string, t reflect.Type, depth int) error {
	if depth > maxDepth {
		return fmt.Errorf("expected at most %d levels of nesting", maxDepth)
	}
	token, err := w.dec.Token()
	if err != nil {
		return err
	}
	t = element(t)
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			return w.object(path, t, depth)
		}
		return w.array(path, t, depth)
	default:
		w.scalar(path, t, token)
		return nil
	}
}

// element returns the type behind pointers.
func element(t reflect.Type) reflect.Type {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	return t
}

func (w *walker) object(path string, t reflect.Type, depth int) error {
	fields := fieldsOf(t)
	known := t == nil || t.Kind() == reflect.Struct || t.Kind() == reflect.Map || t.Kind() == reflect.Interface
	if !known || opaque(t) {
		w.report(path, "expected %s, got an object", expected(t))
	}
	seen := map[string]bool{}
	for w.dec.More() {
		token, err := w.dec.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		member := join(path, name)
		next, ok := memberType(t, fields, name)
		switch {
		case seen[name]:
			w.report(member, "the name appears more than once")
		case !ok:
			w.report(member, "unknown name")
		}
		seen[name] = true
		if err := w.value(member, next, depth+1); err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

// memberType returns the type of a member of t; ok is false for an unknown name of a struct.
func memberType(t reflect.Type, fields map[string]reflect.Type, name string) (member reflect.Type, ok bool) {
	if fields != nil {
		member, ok = fields[name]
		return member, ok
	}
	if t != nil && t.Kind() == reflect.Map {
		return t.Elem(), true
	}
	return nil, true
}

func (w *walker) array(path string, t reflect.Type, depth int) error {
	var next reflect.Type
	switch {
	case t == nil || t.Kind() == reflect.Interface:
	case t.Kind() == reflect.Slice && t.Elem().Kind() != reflect.Uint8 && !opaque(t):
		next = t.Elem()
	default:
		w.report(path, "expected %s, got an array", expected(t))
	}
	for i := 0; w.dec.More(); i++ {
		if err := w.value(fmt.Sprintf("%s[%d]", path, i), next, depth+1); err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

// scalar checks a string, number, boolean or null.
func (w *walker) scalar(path string, t reflect.Type, token json.Token) {
	if t == nil || token == nil {
		return
	}
	text, _ := json.Marshal(token)
	if opaque(t) || t.Kind() == reflect.Slice {
		w.selfDecoded(path, t, text)
		return
	}
	ok := true
	switch t.Kind() {
	case reflect.String:
		_, ok = token.(string)
	case reflect.Bool:
		_, ok = token.(bool)
	case reflect.Struct, reflect.Map:
		ok = false
	case reflect.Interface:
	default:
		ok = fitsNumber(t, token)
	}
	if !ok {
		w.report(path, "expected %s, got %s", expected(t), shorten(string(text)))
	}
}

// selfDecoded checks a value whose type decodes itself, or base64.
func (w *walker) selfDecoded(path string, t reflect.Type, text []byte) {
	err := json.Unmarshal(text, reflect.New(t).Interface())
	switch {
	case err == nil:
	case t == reflect.TypeFor[time.Time]() || t.Kind() == reflect.Slice:
		w.report(path, "expected %s, got %s", expected(t), shorten(string(text)))
	default:
		w.report(path, "%s", err)
	}
}

func fitsNumber(t reflect.Type, token json.Token) bool {
	number, ok := token.(json.Number)
	if !ok {
		return false
	}
	var err error
	switch t.Kind() {
	case reflect.Float32, reflect.Float64:
		_, err = strconv.ParseFloat(number.String(), t.Bits())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		_, err = strconv.ParseUint(number.String(), 10, t.Bits())
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		_, err = strconv.ParseInt(number.String(), 10, t.Bits())
	default:
		return false
	}
	return err == nil
}

var (
	jsonUnmarshaler = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// opaque reports whether a type decodes itself.
func opaque(t reflect.Type) bool {
	if t == nil {
		return false
	}
	p := reflect.PointerTo(t)
	return p.Implements(jsonUnmarshaler) || p.Implements(textUnmarshaler)
}

// fieldsOf returns the JSON names of a struct, or nil if t has no fixed names.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	if t == nil || t.Kind() != reflect.Struct || opaque(t) {
		return nil
	}
	fields := map[string]reflect.Type{}
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case !f.IsExported() || name == "-" || f.Anonymous && name == "":
			continue
		case name == "":
			name = f.Name
		}
		fields[name] = f.Type
	}
	return fields
}

// expected names a type for the writer of a document.
func expected(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Time]():
		return "a time such as 2026-01-31T05:30:00Z"
	case opaque(t):
		return "a " + strings.ToLower(t.Name())
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			return "a base64 string"
		}
		return "an array"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return fmt.Sprintf("a whole number from 0, at most %d bits", t.Bits())
	default:
		return fmt.Sprintf("a whole number of at most %d bits", t.Bits())
	}
}

// maxShown bounds how much of a wrong value a message repeats.
const maxShown = 40

func shorten(text string) string {
	if len(text) <= maxShown {
		return text
	}
	return strings.ToValidUTF8(text[:maxShown], "") + "…"
}

func join(path, name string) string {
	name = shorten(name)
	if path == "" {
		return name
	}
	return path + "." + name
}
