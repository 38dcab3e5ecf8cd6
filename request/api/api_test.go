package api

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/instance"
	"github.com/lentiltide/lentiltide/request/limit"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/config"
	"github.com/lentiltide/lentiltide/version/intent"
)

// fakeBackend answers every valid request. A backend with an owner forwards requests to it, or fails with MayHaveRun if
// connectionLost is set. mutations counts the calls that change state.
type fakeBackend struct {
	owner          *Server
	mutations      int
	connectionLost bool
}

func (b *fakeBackend) Admit(context.Context, limit.Key) (func(), error) { return func() {}, nil }

func (b *fakeBackend) Serve(ctx context.Context, _ instance.Request, local func(context.Context) error) error {
	return local(ctx)
}

func (b *fakeBackend) Dispatch(ctx context.Context, _ instance.Request, forward func() *peerpb.Forward, local func(context.Context) error) (*peerpb.ForwardReply, error) {
	if b.owner == nil {
		return nil, local(ctx)
	}
	f := forward()
	if b.connectionLost {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "connection to peer was lost")
	}
	return b.owner.HandleForward(ctx, f), nil
}

func (b *fakeBackend) Plan(_ context.Context, n int, spec model.IntentSpec) (model.Plan, error) {
	b.mutations++
	return model.Plan{ID: fmt.Sprintf("p%d-1", n), Spec: spec}, nil
}

func (b *fakeBackend) GetPlan(_ int, id string) (model.Plan, error) { return model.Plan{ID: id}, nil }

func (b *fakeBackend) Confirm(_ context.Context, _ int, id string) (model.Intent, error) {
	b.mutations++
	return model.Intent{}, verdict.New(verdict.NotRun, verdict.CodeStalePlan, "plan %q is stale", id).
		WithRetryAfter(1500 * time.Millisecond).WithDetail(model.Plan{ID: "p1-fresh"})
}

func (b *fakeBackend) Cancel(_ context.Context, _ int, id string) (model.Intent, error) {
	b.mutations++
	return model.Intent{ID: id, State: model.IntentCancelled}, nil
}

func (b *fakeBackend) Status(_ int, id string) (intent.Status, error) {
	if strings.HasSuffix(id, "-panic") {
		panic("status")
	}
	return intent.Status{Intent: model.Intent{ID: id}}, nil
}

func (b *fakeBackend) Explain(_ context.Context, _ int, id model.TaskID) (intent.Explanation, error) {
	return intent.Explanation{Task: intent.TaskStatus{ID: id}, Reasons: []string{"waits"}}, nil
}

func (b *fakeBackend) IssueTickets(n int, _ string, count int) ([]model.StartToken, error) {
	if count < 1 || count > 10 {
		return nil, verdict.Invalid("count", "expected 1 to 10")
	}
	return make([]model.StartToken, count), nil
}

func (b *fakeBackend) Call(_ context.Context, _ int, id string, _ model.StartToken, _ string, payload []byte) (model.Outcome, error) {
	b.mutations++
	return model.Outcome{Task: model.TaskID(id), State: model.OutcomeFinished, Answer: payload}, nil
}

func (b *fakeBackend) Config() config.Applied { return config.Applied{Version: 3} }

func (b *fakeBackend) PlanConfig(context.Context, []byte) (instance.ConfigPlan, error) {
	b.mutations++
	return instance.ConfigPlan{ID: "c1"}, nil
}

func (b *fakeBackend) ConfirmConfig(context.Context, string) (instance.ConfigStatus, error) {
	b.mutations++
	return instance.ConfigStatus{Version: 4}, nil
}

func (b *fakeBackend) ConfigStatus(context.Context) (instance.ConfigStatus, error) {
	return instance.ConfigStatus{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "table")
}

func (b *fakeBackend) Dump(limit int) instance.Dump {
	return instance.Dump{Truncated: map[string]int{"limit": limit}}
}

func (b *fakeBackend) OwnerEpoch(int) uint64 { return 7 }

func (b *fakeBackend) WorkerCapacities() []model.Resources {
	worker := model.Resources{CPUMilli: 16_000, MemoryMiB: 65_536, Slots: 8, Connections: 60}
	return []model.Resources{worker, worker}
}

func newServer(b *fakeBackend) *Server {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{Address: "127.0.0.1:0", Backend: b, Clock: clockwork.NewRealClock(), Log: log})
}

func send(s *Server, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	s.http.ServeHTTP(w, r)
	return w
}

const validSpec = `{"account":"office","team":"fleet","name":"audit","kind":"batch","tasks":2,"each":{"cpu_milli":1000,"memory_mib":10}}`

// specWith returns validSpec with one part of its text replaced.
func specWith(old, replacement string) string { return strings.Replace(validSpec, old, replacement, 1) }

// TestInvalidInput guards against invalid input that takes effect, and against errors that do not state the field, what
// was expected and that nothing ran.
func TestInvalidInput(t *testing.T) {
	for _, tc := range []struct {
		name, method, path, body string
		header                   []string
		field, message           string
	}{
		{"unknown member", "POST", "/v1/plans", specWith(`"tasks"`, `"task"`), nil, "task", "unknown name"},
		{"duplicate member", "POST", "/v1/plans", specWith(`"tasks":2`, `"tasks":2,"tasks":3`), nil, "tasks", "more than once"},
		{"negative size", "POST", "/v1/plans", specWith("1000", "-1"), nil, "each.cpu_milli", "expected 0 to 4096000, got -1"},
		{"absurd size", "POST", "/v1/plans", specWith("1000", "9000000000000000000"), nil, "each.cpu_milli", "expected 0 to"},
		{"not an integer", "POST", "/v1/plans", specWith("1000", "1e99"), nil, "each.cpu_milli", "whole number"},
		{"unknown kind", "POST", "/v1/plans", specWith("batch", "bulk"), nil, "kind", "expected service, batch, gang"},
		{"unknown class", "POST", "/v1/plans", specWith(`"kind"`, `"class":"slow","kind"`), nil, "class", "expected one of"},
		{"no tasks", "POST", "/v1/plans", specWith(`"tasks":2`, `"tasks":0`), nil, "tasks", "expected 1 to 10000, got 0"},
		{"gang larger than the cell", "POST", "/v1/plans", specWith(`"batch","tasks":2`, `"gang","tasks":17`), nil, "tasks", "expected at most 16"},
		{"accelerators without a type", "POST", "/v1/plans", specWith("1000", `1,"accelerators":2`), nil, "each.accelerator_type", "type"},
		{"accelerator type without a count", "POST", "/v1/plans", specWith("1000", `1,"accelerator_type":"a"`), nil, "each.accelerators", "got 0"},
		{"past deadline", "POST", "/v1/plans", specWith(`"tasks"`, `"deadline":"2001-01-01T00:00:00Z","tasks"`), nil, "deadline", "expected a time after"},
		{"control character", "POST", "/v1/plans", specWith("office", `a\u0000b`), nil, "account", "control"},
		{"bad UTF-8", "POST", "/v1/plans", specWith("office", "\xff"), nil, "body", "UTF-8"},
		{"not JSON", "POST", "/v1/plans", "{", nil, "body", "ends early"},
		{"large body", "POST", "/v1/plans", strings.Repeat(" ", maxBodyBytes+1), nil, "body", "expected at most"},
		{"media type", "POST", "/v1/plans", validSpec, []string{"Content-Type", "text/plain"}, "Content-Type", "application/json"},
		{"coding", "POST", "/v1/plans", validSpec, []string{"Content-Encoding", "gzip"}, "Content-Encoding", "uncompressed"},
		{"request id", "POST", "/v1/plans", validSpec, []string{HeaderRequestID, "a b"}, HeaderRequestID, "visible"},
		{"client", "POST", "/v1/plans", validSpec, []string{HeaderClient, strings.Repeat("x", 201)}, HeaderClient, "visible"},
		{"timeout", "POST", "/v1/plans", validSpec, []string{HeaderTimeoutMS, "-1"}, HeaderTimeoutMS, "expected 1 to"},
		{"plan id", "POST", "/v1/plans/x/confirm", "", nil, "id", "expected an id"},
		{"partition of an id", "GET", "/v1/intents/i64-a", "", nil, "id", "expected an id"},
		{"confirm body", "POST", "/v1/plans/p1-a/confirm", `{"force":true}`, nil, "force", "unknown name"},
		{"ticket count", "POST", "/v1/intents/i1-a/tickets", `{"count":11}`, nil, "count", "expected 1 to 10"},
		{"ticket", "POST", "/v1/intents/i1-a/calls", `{}`, []string{HeaderTicket, "1-2"}, HeaderTicket, "partition-epoch-sequence"},
		{"key", "POST", "/v1/intents/i1-a/calls", `{}`, []string{HeaderIdempotencyKey, "a\tb"}, HeaderIdempotencyKey, "visible"},
		{"key and ticket", "POST", "/v1/intents/i1-a/calls", `{}`, []string{HeaderIdempotencyKey, "k", HeaderTicket, "1-2-3"}, HeaderIdempotencyKey, "got both"},
		{"payload", "POST", "/v1/intents/i1-a/calls", `{"payload":"` + strings.Repeat("x", model.MaxPayloadBytes+1) + `"}`, nil, "payload", "expected at most"},
		{"configuration", "POST", "/v1/config/plans", `{"limits":{},"limits":{}}`, nil, "limits", "more than once"},
		{"configuration plan", "POST", "/v1/config/plans/c1/confirm", `{"x":1}`, nil, "x", "unknown name"},
		{"query parameter", "GET", "/v1/dump?limits=1", "", nil, "limits", "unknown query parameter"},
		{"repeated parameter", "GET", "/v1/dump?limit=1&limit=2", "", nil, "limit", "once"},
		{"dump limit", "GET", "/v1/dump?limit=0", "", nil, "limit", "expected 1 to"},
		{"method", "DELETE", "/v1/plans", "", nil, "method", "does not support DELETE"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := &fakeBackend{}
			w := send(newServer(b), tc.method, tc.path, tc.body, tc.header...)
			var body jsonhttp.ErrorBody
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body))
			assert.Equal(t, w.Code, http.StatusBadRequest)
			assert.Equal(t, body.Verdict, verdict.NotRun)
			assert.Equal(t, body.Code, verdict.CodeInvalid)
			assert.Equal(t, body.Field, tc.field)
			assert.Assert(t, strings.Contains(body.Message, tc.message), body.Message)
			assert.Equal(t, body.RequestID, w.Header().Get(HeaderRequestID))
			assert.Equal(t, b.mutations, 0)
		})
	}
}

// TestForwardedResponseMatchesDirectResponse guards against a forwarded request that loses its path, query or headers,
// and against a response that depends on which instance receives the request.
func TestForwardedResponseMatchesDirectResponse(t *testing.T) {
	for _, tc := range []struct{ name, method, path, body string }{
		{"plan", "POST", "/v1/plans", validSpec},
		{"bad plan", "POST", "/v1/plans", "{"},
		{"get plan", "GET", "/v1/plans/p1-a%2Fb", ""},
		{"stale plan", "POST", "/v1/plans/p1-a/confirm", ""},
		{"status", "GET", "/v1/intents/i1-a", ""},
		{"explain", "GET", "/v1/intents/i1-a/explain?task=0.1", ""},
		{"query", "GET", "/v1/intents/i1-a?x=1", ""},
		{"panic", "GET", "/v1/intents/i1-panic", ""},
		{"call", "POST", "/v1/intents/i1-a/calls", `{"payload":"lane 4"}`},
		{"call with a bad ticket", "POST", "/v1/intents/i1-a/calls", `{}`},
		{"cancel", "POST", "/v1/intents/i1-a/cancel", "{}"},
		{"unknown path", "GET", "/v1/intent/i1-a", ""},
		{"trailing slash", "GET", "/v1/intents/i1-a/", ""},
		{"unclean path", "GET", "//v1/dump", ""},
		{"method", "PUT", "/v1/dump", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			owner := newServer(&fakeBackend{})
			forwarder := newServer(&fakeBackend{owner: owner})
			header := []string{HeaderRequestID, "r1", HeaderTimeoutMS, "5000"}
			if tc.name == "call with a bad ticket" {
				header = append(header, HeaderTicket, "x")
			}
			directResponse, forwardedResponse := send(owner, tc.method, tc.path, tc.body, header...), send(forwarder, tc.method, tc.path, tc.body, header...)
			assert.Equal(t, directResponse.Code, forwardedResponse.Code)
			assert.Equal(t, directResponse.Body.String(), forwardedResponse.Body.String())
			assert.DeepEqual(t, directResponse.Header(), forwardedResponse.Header())
			assert.Equal(t, directResponse.Header().Get("Content-Length"), fmt.Sprint(directResponse.Body.Len()))
			assert.Assert(t, directResponse.Header().Get(HeaderDigest) != "")
		})
	}
}

// TestVerdicts guards against a lost reply to a write that is not reported as MayHaveRun, and against a lost reply to a
// read that is. It also checks that an error response keeps its retry delay and its detail.
func TestVerdicts(t *testing.T) {
	s := newServer(&fakeBackend{owner: newServer(&fakeBackend{}), connectionLost: true})
	for path, want := range map[string]verdict.Verdict{"/v1/intents/i1-a/cancel": verdict.MayHaveRun, "/v1/intents/i1-a": verdict.NotRun} {
		method := "GET"
		if want == verdict.MayHaveRun {
			method = "POST"
		}
		var body jsonhttp.ErrorBody
		assert.NilError(t, json.Unmarshal(send(s, method, path, "").Body.Bytes(), &body))
		assert.Equal(t, body.Verdict, want)
	}
	w := send(newServer(&fakeBackend{}), "POST", "/v1/plans/p1-a/confirm", "")
	assert.Equal(t, w.Header().Get("Retry-After"), "2")
	assert.Assert(t, strings.Contains(w.Body.String(), `"detail":{"id":"p1-fresh"`), w.Body.String())
}

// FuzzRequest guards against input that crashes the decoders, and against an error response without a code or, for
// invalid input, with a verdict other than NotRun.
func FuzzRequest(f *testing.F) {
	for _, seed := range [][4]string{
		{"POST", "/v1/plans", validSpec, ""},
		{"POST", "/v1/plans", specWith("office", "\xff"), ""},
		{"POST", "/v1/plans", specWith(`"tasks":2`, `"tasks":2,"tasks":3`), ""},
		{"POST", "/v1/intents/i1-a/calls", `{"payload":"lane 4"}`, "1-2-3"},
		{"GET", "/v1/dump?limit=5", "", ""},
		{"GET", "/v1/plans/p99999999999999999999-a", "", ""},
	} {
		f.Add(seed[0], seed[1], seed[2], seed[3])
	}
	s := newServer(&fakeBackend{})
	f.Fuzz(func(t *testing.T, method, path, body, ticket string) {
		r, err := http.NewRequest(method, "http://localhost"+path, strings.NewReader(body))
		if err != nil {
			t.Skip()
		}
		r.Header.Set(HeaderTicket, ticket)
		w := httptest.NewRecorder()
		s.http.ServeHTTP(w, r)
		if w.Code < http.StatusBadRequest {
			return
		}
		var reply jsonhttp.ErrorBody
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &reply), "%d %s", w.Code, w.Body)
		assert.Assert(t, reply.Code != "")
		if reply.Code == verdict.CodeInvalid {
			assert.Equal(t, reply.Verdict, verdict.NotRun)
		}
	})
}

// FuzzTicket guards against a ticket that changes when it is formatted and parsed again, which would let one ticket pass
// as two.
func FuzzTicket(f *testing.F) {
	for _, seed := range []string{"", "1-2-3", "63-18446744073709551615-1", "01-2-3", "+1-2-3", "1-2-3-4"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		ticket, err := ParseTicket(text)
		if err == nil && text != "" {
			again, err := ParseTicket(FormatTicket(ticket))
			assert.NilError(t, err)
			assert.Equal(t, again, ticket)
		}
	})
}
