// Package wire serves the stand-ins of package backends over the users' platform's protocol, so that the real programs run
// against them: the table service, the workers and the placement policy, each on a loopback address.
package wire

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/backends"
)

// Serve serves a handler on a loopback address until the server is closed.
func Serve(handler http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler}
	// Serve ends when the server is closed.
	go func() { _ = server.Serve(l) }()
	return server, l.Addr().String(), nil
}

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) key() backend.RowKey { return backend.RowKey{Table: r.Table, Part: r.Part, Key: r.Key} }

func rowsOf(rows []backend.Row) []row {
	out := []row{}
	for _, r := range rows {
		out = append(out, row{r.Table, r.Part, r.Key, r.Value, r.Version, r.Deleted})
	}
	return out
}

type page struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"hasMore"`
	Version uint64 `json:"rowVersion"`
}

// Tables returns the handler of the table service.
func Tables(tables *backends.Tables) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Expected, Put, Remove []row }
		if !decode(w, r, &body) {
			return
		}
		txn := backend.Txn{}
		for _, e := range body.Expected {
			txn.Expected = append(txn.Expected, backend.Row{RowKey: e.key(), Version: e.Version})
		}
		for _, p := range body.Put {
			txn.Put = append(txn.Put, backend.Row{RowKey: p.key(), Value: p.Value})
		}
		for _, k := range body.Remove {
			txn.Remove = append(txn.Remove, k.key())
		}
		version, err := tables.Commit(r.Context(), txn)
		answerPage(w, backend.Page{Version: version}, err)
	})
	mux.HandleFunc("GET /v1/rows-get", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		got, err := tables.Range(r.Context(), q.Get("table"), q.Get("part"), q.Get("from"))
		if to := q.Get("to"); to != "" {
			kept := got.Rows[:0]
			for _, row := range got.Rows {
				if row.Key < to {
					kept = append(kept, row)
				}
			}
			got.Rows = kept
		}
		answerPage(w, got, err)
	})
	mux.HandleFunc("GET /v1/rows-feed", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("waitMs"))
		got, err := tables.Feed(r.Context(), q.Get("table"), after, time.Duration(ms)*time.Millisecond)
		answerPage(w, got, err)
	})
	return mux
}

func answerPage(w http.ResponseWriter, got backend.Page, err error) {
	status := http.StatusOK
	if err != nil {
		e := verdict.From(err)
		switch e.Code {
		case verdict.CodeConflict:
			status = http.StatusPreconditionFailed
			got.Rows, _ = e.Detail.([]backend.Row)
		case verdict.CodeExpired:
			status = http.StatusGone
		default:
			status = http.StatusServiceUnavailable
		}
	}
	encode(w, status, page{rowsOf(got.Rows), got.More, got.Version})
}

func decode(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func encode(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone away cannot be told.
	_ = json.NewEncoder(w).Encode(body)
}

// Worker returns the handler of one worker. address is where callers reach it.
func Worker(workers *backends.Workers, id string) http.Handler {
	mux := http.NewServeMux()
	ref := backend.WorkerRef{ID: id}
	order := func(handle func(r *http.Request, body orderBody) (backend.Reply, error)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			var body orderBody
			if !expected(w, r, id) || !decode(w, r, &body) {
				return
			}
			reply, err := handle(r, body)
			answerOrder(w, reply, err, map[string]any{"clockMs": reply.ClockMS})
		}
	}
	mux.HandleFunc("POST /v1/run-start", order(func(r *http.Request, b orderBody) (backend.Reply, error) {
		return workers.Start(r.Context(), backend.StartOrder{
			Order: b.order(ref), Payload: b.Specification, DeadlineMS: b.DeadlineMS, Checkpoint: b.Checkpoint, Ticket: b.Ticket,
		})
	}))
	mux.HandleFunc("POST /v1/run-stop", order(func(r *http.Request, b orderBody) (backend.Reply, error) {
		return workers.Stop(r.Context(), b.order(ref))
	}))
	mux.HandleFunc("POST /v1/pace", order(func(r *http.Request, b orderBody) (backend.Reply, error) {
		return workers.Throttle(r.Context(), b.order(ref), b.Percent)
	}))
	mux.HandleFunc("POST /v1/hold", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			DeadlineMS, LastSeen, WaitMS int64
			FencingToken                 uint64
		}
		if !expected(w, r, id) || !decode(w, r, &body) {
			return
		}
		reply, err := workers.Poll(r.Context(), backend.PollRequest{
			Worker: ref, Token: body.FencingToken, DeadlineMS: body.DeadlineMS, Acked: body.LastSeen,
			Wait: time.Duration(body.WaitMS) * time.Millisecond,
		})
		running, ended := [][]any{}, [][]any{}
		for _, t := range reply.Running {
			running = append(running, []any{t.Task, t.Run, t.Saved, t.Percent, t.Load})
		}
		for _, e := range reply.Ended {
			ended = append(ended, []any{e.Number, e.Task, e.Run, e.How, e.Saved})
		}
		answerOrder(w, reply.Reply, err, map[string]any{
			"clockMs": reply.ClockMS, "born": reply.StartedMS, "running": running, "ended": ended,
		})
	})
	return mux
}

type orderBody struct {
	Task          string
	Run           int64
	Specification string
	DeadlineMS    int64
	FencingToken  uint64
	Checkpoint    string
	Ticket        string
	Percent       int
}

func (b orderBody) order(ref backend.WorkerRef) backend.Order {
	return backend.Order{Worker: ref, Task: b.Task, Run: b.Run, Token: b.FencingToken}
}

func expected(w http.ResponseWriter, r *http.Request, id string) bool {
	if r.Header.Get("Expected-Instance") != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

var reasons = map[backend.Refusal]string{
	backend.RefusedFence: "fence", backend.RefusedOldRun: "old", backend.RefusedLate: "late",
	backend.RefusedRoom: "room", backend.RefusedTicket: "ticket",
}

func answerOrder(w http.ResponseWriter, reply backend.Reply, err error, body map[string]any) {
	switch {
	case err != nil:
		// The worker gives no answer.
		panic(http.ErrAbortHandler)
	case reply.Refusal != "":
		body["reason"] = reasons[reply.Refusal]
		encode(w, http.StatusConflict, body)
	default:
		encode(w, http.StatusOK, body)
	}
}

// Advisor returns the handler of the placement policy.
func Advisor(advisor *backends.Advisor) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/advise", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Step    string
			Workers []string
		}
		if !decode(w, r, &body) {
			return
		}
		good, validity, err := advisor.Advise(r.Context(), body.Step, body.Workers)
		if err != nil {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		rows := [][2]string{}
		for _, g := range good {
			rows = append(rows, [2]string{g.Worker, g.Ticket})
		}
		encode(w, http.StatusOK, map[string]any{"good": rows, "validityMs": validity.Milliseconds()})
	})
	return mux
}

// Entry returns the entry of a worker in the registry.
func Entry(info backend.WorkerInfo) (backend.RowKey, []byte) {
	state := "ready"
	if info.Draining {
		state = "draining"
	}
	data, err := json.Marshal(map[string]any{
		"service": info.Service, "address": info.Address, "zone": info.Zone, "state": state, "labels": info.Labels,
		"born": info.StartedMS, "remainingMs": info.RemainingMS, "capacity": capacity(info.Capacity),
	})
	if err != nil {
		panic(errors.Wrap(err, "encode entry"))
	}
	return backend.RowKey{Table: "servers", Key: info.ID}, data
}

func capacity(r model.Resources) map[string]int64 {
	return map[string]int64{"cpu": r.CPUMilli, "memoryRequestMb": r.MemoryMiB, "gpu": r.Accelerators}
}

// Config returns a configuration with one queue for a service.
func Config(version uint64, host, prefix, service string) (backend.RowKey, []byte) {
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "queue", "host": host, "prefix": prefix, "service": service, "priority": 0, "maxAttempts": 3,
			"stretch": 1.5, "targetDurationMs": 250,
			"advice": map[string]any{"decisionMs": 10, "perItemMs": 0.1, "validityMs": 2500},
		}},
		"services": []map[string]any{{"name": service}},
	})
	if err != nil {
		panic(errors.Wrap(err, "encode configuration"))
	}
	return backend.RowKey{Table: "op", Key: "config"}, data
}

// JobBody returns the body that hands in a job of one step.
func JobBody(tasks int, each model.Resources, estimate time.Duration) string {
	data, err := json.Marshal(map[string]any{
		"specification": "soak",
		"steps": []map[string]any{{
			"count": tasks, "cpu": each.CPUMilli, "memoryRequestMb": each.MemoryMiB, "estimatedMs": estimate.Milliseconds(),
		}},
	})
	if err != nil {
		panic(errors.Wrap(err, "encode job"))
	}
	return strings.TrimSpace(string(data))
}
