// Package strictjson decodes JSON and reports everything that does not match the target type exactly: unknown and
// duplicate names, values of the wrong type, invalid UTF-8 and trailing data. Names are case-sensitive. Each problem
// has the path of the member. The package has no state.
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
	// maxDepth bounds the nesting levels of a document, so that a small body cannot exhaust the stack.
	maxDepth = 32
	// maxProblems bounds the problems reported for one document; further ones are omitted.
	maxProblems = 50
)

// Problem is one error in a document.
type Problem struct {
	// Path is the path of the member, such as each.cpu_milli; empty for the whole document.
	Path string
	// Message states what was expected.
	Message string
}

// String returns the path, if any, and the message.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// Decode decodes one JSON value into out, which must be a pointer. If the checks find a problem, out is not changed.
func Decode(data []byte, out any) []Problem {
	if !utf8.Valid(data) {
		return []Problem{{Message: "expected valid UTF-8"}}
	}
	w := &walker{dec: json.NewDecoder(bytes.NewReader(data))}
	w.dec.UseNumber()
	err := w.checkValue("", reflect.TypeOf(out).Elem(), 0)
	if err == nil {
		if _, tailErr := w.dec.Token(); !errors.Is(tailErr, io.EOF) {
			err = errors.New("expected one JSON value and nothing after it")
		}
	}
	if err != nil {
		w.addProblem("", "%s", syntaxMessage(err))
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

// walker checks the tokens of a document against a type.
type walker struct {
	dec      *json.Decoder
	problems []Problem
}

func (w *walker) addProblem(path, format string, args ...any) {
	if len(w.problems) < maxProblems {
		w.problems = append(w.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
	}
}

// checkValue checks the next value against a type; a nil type accepts any value. Type mismatches are recorded as
// problems; the returned error is a syntax error or excessive nesting.
func (w *walker) checkValue(path string, t reflect.Type, depth int) error {
	if depth > maxDepth {
		return fmt.Errorf("expected at most %d levels of nesting", maxDepth)
	}
	token, err := w.dec.Token()
	if err != nil {
		return err
	}
	t = indirect(t)
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			return w.checkObject(path, t, depth)
		}
		return w.checkArray(path, t, depth)
	default:
		w.checkScalar(path, t, token)
		return nil
	}
}

// indirect returns the type that t points to, through any number of pointers.
func indirect(t reflect.Type) reflect.Type {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	return t
}

func (w *walker) checkObject(path string, t reflect.Type, depth int) error {
	fields := jsonFields(t)
	acceptsObject := t == nil || t.Kind() == reflect.Struct || t.Kind() == reflect.Map || t.Kind() == reflect.Interface
	if !acceptsObject || implementsUnmarshaler(t) {
		w.addProblem(path, "expected %s, got an object", describeType(t))
	}
	seen := map[string]bool{}
	for w.dec.More() {
		token, err := w.dec.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		member := joinPath(path, name)
		valueType, ok := memberType(t, fields, name)
		switch {
		case seen[name]:
			w.addProblem(member, "the name appears more than once")
		case !ok:
			w.addProblem(member, "unknown name")
		}
		seen[name] = true
		if err := w.checkValue(member, valueType, depth+1); err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

// memberType returns the type of a member of t, or nil if any type is accepted; ok is false if t is a struct without a
// field of that name.
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

func (w *walker) checkArray(path string, t reflect.Type, depth int) error {
	var elemType reflect.Type
	switch {
	case t == nil || t.Kind() == reflect.Interface:
	case t.Kind() == reflect.Slice && t.Elem().Kind() != reflect.Uint8 && !implementsUnmarshaler(t):
		elemType = t.Elem()
	default:
		w.addProblem(path, "expected %s, got an array", describeType(t))
	}
	for i := 0; w.dec.More(); i++ {
		if err := w.checkValue(fmt.Sprintf("%s[%d]", path, i), elemType, depth+1); err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

// checkScalar checks a string, number, boolean or null. null is accepted for every type.
func (w *walker) checkScalar(path string, t reflect.Type, token json.Token) {
	if t == nil || token == nil {
		return
	}
	text, _ := json.Marshal(token)
	if implementsUnmarshaler(t) || t.Kind() == reflect.Slice {
		w.checkUnmarshaler(path, t, text)
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
		ok = numberFits(t, token)
	}
	if !ok {
		w.addProblem(path, "expected %s, got %s", describeType(t), truncate(string(text)))
	}
}

// checkUnmarshaler checks a value whose type implements its own decoding, or a slice, for which only a base64 string is
// valid.
func (w *walker) checkUnmarshaler(path string, t reflect.Type, text []byte) {
	err := json.Unmarshal(text, reflect.New(t).Interface())
	switch {
	case err == nil:
	case t == reflect.TypeFor[time.Time]() || t.Kind() == reflect.Slice:
		w.addProblem(path, "expected %s, got %s", describeType(t), truncate(string(text)))
	default:
		w.addProblem(path, "%s", err)
	}
}

func numberFits(t reflect.Type, token json.Token) bool {
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
	jsonUnmarshalerType = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// implementsUnmarshaler reports whether a pointer to t implements json.Unmarshaler or encoding.TextUnmarshaler.
func implementsUnmarshaler(t reflect.Type) bool {
	if t == nil {
		return false
	}
	p := reflect.PointerTo(t)
	return p.Implements(jsonUnmarshalerType) || p.Implements(textUnmarshalerType)
}

// jsonFields returns the types of a struct's fields by JSON name, or nil if t does not have a fixed set of names.
func jsonFields(t reflect.Type) map[string]reflect.Type {
	if t == nil || t.Kind() != reflect.Struct || implementsUnmarshaler(t) {
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

// describeType describes the JSON value expected for a type, for use in messages.
func describeType(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Time]():
		return "a time such as 2026-01-31T05:30:00Z"
	case implementsUnmarshaler(t):
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

// maxQuotedBytes bounds how much of a name or an invalid value a message quotes.
const maxQuotedBytes = 40

func truncate(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "…"
}

func joinPath(path, name string) string {
	name = truncate(name)
	if path == "" {
		return name
	}
	return path + "." + name
}
