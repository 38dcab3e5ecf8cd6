package settings

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSettings = `{"instance":"entry-1","region":"estonia","zone":"maardu","http_address":"127.0.0.1:7411",
"peer_address":"127.0.0.1:7421","platform_url":"http://127.0.0.1:7400"}`

// TestParseProblems guards against unusable settings that are accepted, and against a check that stops at the first
// problem.
func TestParseProblems(t *testing.T) {
	with := func(old, replacement string) string { return strings.Replace(validSettings, old, replacement, 1) }
	for _, tc := range []struct {
		name, in string
		want     []string
	}{
		{"good", validSettings, nil},
		{"all at once", `{"instance":"a b","zone":1,"sesion_term_ms":5,"session_renew_ms":10,"platform_url":"x","http_address":"localhost:1","log_level":"loud"}`, []string{
			`zone: expected a string`, `sesion_term_ms: unknown name`, `instance: expected 1 to 64 letters`, `region: expected 1 to 64`,
			`http_address: expected an IP address with a port from 0 to 65535`, `peer_address: expected an IP address`,
			`platform_url: expected a URL`, `session_renew_ms: expected 50 to 10000 milliseconds, got 10`, `log_level: expected debug`,
		}},
		{"duplicate", with(`"zone"`, `"zone":"a","zone"`), []string{"zone: the name appears more than once"}},
		{"term too short", with(`"zone"`, `"session_term_ms":2999,"zone"`), []string{"session_term_ms: expected 3000 to 60000 milliseconds, got 2999"}},
		{"same address", with("7421", "7411"), []string{"peer_address: expected an address other than http_address"}},
		{"no certificates", with("127.0.0.1:7421", "10.1.2.3:7421"), []string{"peer_tls: required"}},
		{"unreachable", with("127.0.0.1:7421", "0.0.0.0:7421"), []string{"peer_address: expected an address that other instances can reach"}},
		{"part of the certificates", with(`"zone"`, `"peer_tls":{"cert_file":"c","ca":"x"},"zone"`), []string{
			"peer_tls.ca: unknown name", "peer_tls.key_file: expected the path", "peer_tls.ca_file: expected the path",
		}},
		{"not JSON", `{`, []string{"expected a JSON value, but the document ends early"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse([]byte(tc.in))
			if len(tc.want) == 0 {
				assert.NilError(t, err)
				return
			}
			var problems *Error
			assert.Assert(t, errors.As(err, &problems))
			assert.Equal(t, len(problems.Problems), len(tc.want), "%q", problems.Problems)
			for i, line := range problems.Problems {
				assert.Assert(t, strings.HasPrefix(line, tc.want[i]), "%q, expected %q", line, tc.want[i])
			}
		})
	}
}

// FuzzParse guards against input that makes Parse panic, and against accepted settings that fail Check.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"peer_tls":null,"session_renew_ms":-9223372036854775808}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Parse(data); err == nil {
			assert.Equal(t, len(s.Check()), 0)
		}
	})
}
