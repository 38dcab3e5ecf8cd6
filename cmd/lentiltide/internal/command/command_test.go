package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lentiltide/lentiltide"
	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/settings"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/cell"
	"github.com/lentiltide/lentiltide/version/intent"
)

// runCommand runs the command line with the given standard input.
func runCommand(input string, args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = Main(context.Background(), args, Streams{In: strings.NewReader(input), Out: &out, Err: &errs})
	return code, out.String(), errs.String()
}

// TestExitCodes guards against verdicts with the same exit code, and against an error that is not printed.
func TestExitCodes(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  *verdict.Error
		want int
	}{
		{"not run", verdict.New(verdict.NotRun, verdict.CodeOverloaded, "busy").WithRetryAfter(2 * time.Second), exitNotRun},
		{"may have run", verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "lost"), exitMayHaveRun},
		{"failed", verdict.New(verdict.Ran, verdict.CodeFailed, "task failed"), exitFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { jsonhttp.WriteError(w, "r", tc.err) }))
			defer server.Close()
			code, _, stderr := runCommand("", "cancel", "i1-a", "--url", server.URL)
			assert.Equal(t, code, tc.want)
			assert.Assert(t, strings.Contains(stderr, tc.err.Message), stderr)
			code, stdout, _ := runCommand("", "cancel", "i1-a", "--url", server.URL, "--json")
			var body jsonhttp.ErrorBody
			assert.NilError(t, json.Unmarshal([]byte(stdout), &body))
			assert.Equal(t, code, tc.want)
			assert.Equal(t, body.Verdict, tc.err.Verdict)
		})
	}
}

// TestUsage guards against an invalid command line that is sent to a cell, and against help on the wrong stream.
func TestUsage(t *testing.T) {
	for _, tc := range []struct {
		args []string
		code int
		out  string
	}{
		{[]string{"--help"}, exitOK, "Commands:"},
		{[]string{"call", "--help"}, exitOK, "PAYLOAD"},
		{[]string{}, exitUsage, ""},
		{[]string{"config"}, exitUsage, ""},
		{[]string{"plan"}, exitUsage, ""},
		{[]string{"confirm", "p1", "p2"}, exitUsage, ""},
	} {
		code, out, stderr := runCommand("", tc.args...)
		assert.Equal(t, code, tc.code, "%v", tc.args)
		assert.Assert(t, strings.Contains(out, tc.out), out)
		assert.Equal(t, stderr != "", tc.code == exitUsage)
	}
}

// TestValidate guards against a check that reports only the first problem, and against valid files that are rejected.
func TestValidate(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{"instance":"a","zon":"b"}`), 0o600))
	code, _, stderr := runCommand("", "validate", file)
	assert.Equal(t, code, exitNotRun)
	for _, path := range []string{"zon:", "zone:", "region:", "http_address:", "peer_address:", "platform_url:"} {
		assert.Assert(t, strings.Contains(stderr, path), stderr)
	}
	code, out, _ := runCommand(`{"account":"a","team":"t","name":"n","kind":"batch","tasks":1,"each":{"cpu_milli":1,"memory_mib":1}}`, "validate", "--intent", "-")
	assert.Equal(t, code, exitOK, out)
	code, out, _ = runCommand("", "validate", "--config", "../../../../examples/config.json")
	assert.Equal(t, code, exitOK, out)
}

// startInstance starts a stand-in cell with one instance and returns the URL of the instance.
func startInstance(t *testing.T) string {
	t.Helper()
	c, err := cell.Start(cell.Options{
		Workers: 2, PerRack: 2, Zones: []string{"osu"}, Region: "ghana",
		Capacity: model.Resources{CPUMilli: 16_000, MemoryMiB: 65_536, Slots: 8, Connections: 60},
	})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	s := settings.Default()
	s.Instance, s.Region, s.Zone = "entry-1", "ghana", "osu"
	s.HTTPAddress, s.PeerAddress, s.PlatformURL = "127.0.0.1:0", "127.0.0.1:0", c.URL
	s.SessionRenewMS = 200
	log := logrus.New()
	log.SetOutput(io.Discard)
	in, err := lentiltide.Start(lentiltide.Options{Settings: s, Log: log})
	assert.NilError(t, err)
	t.Cleanup(in.Kill)
	return in.URL()
}

// TestSubcommands guards against subcommands that do not match the API, by running them once as the README does. The first
// URL is unreachable, so each request must move on to the next.
func TestSubcommands(t *testing.T) {
	const unreachable = "http://127.0.0.1:1"
	instanceURL := startInstance(t)
	run := func(args ...string) (string, error) {
		code, out, stderr := runCommand("", append(args, "--json", "--url", unreachable, "--url", instanceURL)...)
		if code != exitOK {
			return out, verdict.New(verdict.NotRun, verdict.CodeInternal, "%v: code %d: %s%s", args, code, out, stderr)
		}
		return out, nil
	}
	mustRun := func(out any, args ...string) {
		text, err := run(args...)
		assert.NilError(t, err)
		assert.NilError(t, json.Unmarshal([]byte(text), out), text)
	}
	var plan model.Plan
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		text, err := run("plan", "../../../../examples/crease-union/slot-hold.json")
		if err != nil || json.Unmarshal([]byte(text), &plan) != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	var in model.Intent
	mustRun(&in, "confirm", plan.ID)
	var reply struct{ Verdict, Answer string }
	mustRun(&reply, "call", in.ID, "lane 4")
	assert.Equal(t, reply.Verdict, "ran")
	var tickets struct{ Tickets []string }
	mustRun(&tickets, "tickets", in.ID, "3")
	assert.Equal(t, len(tickets.Tickets), 3)
	var status intent.Status
	mustRun(&status, "status", in.ID)
	assert.Equal(t, len(status.Tasks), 1)
	file := filepath.Join(t.TempDir(), "config.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{"limits":{"retry_percent":20}}`), 0o600))
	var config struct {
		ID      string
		Changes []any
		Version int
	}
	mustRun(&config, "config", "plan", file)
	assert.Equal(t, len(config.Changes), 1)
	mustRun(&config, "config", "confirm", config.ID)
	assert.Equal(t, config.Version, 1)
	for _, args := range [][]string{{"config", "show"}, {"config", "status"}, {"explain", in.ID}, {"dump", "--limit", "1"}, {"cancel", in.ID}} {
		var answer map[string]any
		mustRun(&answer, args...)
	}
}
