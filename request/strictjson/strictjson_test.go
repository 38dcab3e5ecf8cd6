package strictjson

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
)

// TestDecodeProblems guards against invalid input that is accepted or partly ignored, and against problems that are
// reported without the path of the member.
func TestDecodeProblems(t *testing.T) {
	for _, tc := range []struct{ name, in, want string }{
		{"good", `{"account":"a","tasks":2,"each":{"cpu_milli":1},"deadline":"2026-01-31T05:30:00Z","class":"urgent"}`, ""},
		{"unknown", `{"acount":"a"}`, "acount: unknown name"},
		{"other case", `{"Account":"a"}`, "Account: unknown name"},
		{"duplicate", `{"tasks":1,"tasks":2}`, "tasks: the name appears more than once"},
		{"nested", `{"each":{"cpu_milli":1,"cpu_milli":1,"x":{"y":[1]}}}`, "each.cpu_milli: the name appears more than once|each.x: unknown name"},
		{"several", `{"tasks":"2","x":1,"idempotent":0}`, `tasks: expected a whole number of at most 64 bits, got "2"|x: unknown name|idempotent: expected true or false, got 0`},
		{"object for number", `{"tasks":{"a":1}}`, "tasks: expected a whole number of at most 64 bits, got an object"},
		{"number for object", `{"each":7}`, "each: expected an object, got 7"},
		{"array", `{"name":["a"]}`, "name: expected a string, got an array"},
		{"fraction", `{"tasks":1.5}`, "tasks: expected a whole number of at most 64 bits, got 1.5"},
		{"too large", `{"tasks":99999999999999999999}`, "tasks: expected a whole number of at most 64 bits, got 99999999999999999999"},
		{"time", `{"deadline":"tomorrow"}`, `deadline: expected a time such as 2026-01-31T05:30:00Z, got "tomorrow"`},
		{"class", `{"class":"slow"}`, `class: unknown class "slow", expected one of [urgent short service batch long]`},
		{"UTF-8", "{\"name\":\"\xff\"}", "expected valid UTF-8"},
		{"trailing", `{} {}`, "expected one JSON value and nothing after it"},
		{"early end", `{"name":`, "expected a JSON value, but the document ends early"},
		{"empty", ``, "expected a JSON value, but the document ends early"},
		{"deep", strings.Repeat("[", 100), "expected an object, got an array|expected at most 32 levels of nesting"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var spec model.IntentSpec
			var got []string
			for _, p := range Decode([]byte(tc.in), &spec) {
				got = append(got, p.String())
			}
			assert.Equal(t, strings.Join(got, "|"), tc.want)
		})
	}
}

// FuzzDecode guards against crashes, and against input that this package accepts although it is not valid JSON.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"account":"a","tasks":2,"each":{"cpu_milli":1},"deadline":"2026-01-31T05:30:00Z","class":"urgent"}`))
	f.Add([]byte(`{"tasks":1,"tasks":2}`))
	f.Add([]byte("{\"name\":\"\xff\"}"))
	f.Add([]byte(strings.Repeat("[", 100)))
	f.Fuzz(func(t *testing.T, data []byte) {
		type document struct {
			model.IntentSpec
			Extra map[string][]byte `json:"extra"`
			At    *time.Time        `json:"at"`
		}
		var out document
		if len(Decode(data, &out)) == 0 {
			assert.Assert(t, json.Valid(data))
		}
	})
}
