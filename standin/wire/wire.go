// Package wire serves the stand-ins of package standin/backends over the HTTP protocol of the users' platform: the table
// service, the workers and the placement policy, each on a loopback address. The production programs run against them
// unchanged.
package wire

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/backends"
)

// Serve serves a handler on a free loopback port until the returned server is closed. It also returns the address.
func Serve(handler http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, &connection{})
	}}
	// The goroutine ends when the server is closed.
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}

// connection is the state of a connection to a stand-in. The server handles the requests on a connection one after another.
type connection struct {
	// workerStartedMS is the start time of the worker's boot that has accepted the connection; 0 before the first request.
	workerStartedMS int64
}

type connectionKey struct{}

// endAtBoot aborts a request on a connection to a former boot of a worker: connections end with the process.
func endAtBoot(r *http.Request, startedMS int64) {
	conn, ok := r.Context().Value(connectionKey{}).(*connection)
	if !ok || startedMS == 0 {
		return
	}
	if conn.workerStartedMS == 0 {
		conn.workerStartedMS = startedMS
	}
	if conn.workerStartedMS != startedMS {
		panic(http.ErrAbortHandler)
	}
}

// row is the JSON form of a backend.Row.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) rowKey() backend.RowKey {
	return backend.RowKey{Table: r.Table, Shard: r.Part, Key: r.Key}
}

func encodeRows(rows []backend.Row) []row {
	encoded := []row{}
	for _, r := range rows {
		encoded = append(encoded, row{r.Table, r.Shard, r.Key, r.Value, r.Version, r.Deleted})
	}
	return encoded
}

// page is the JSON form of a backend.Page.
type page struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"hasMore"`
	Version uint64 `json:"rowVersion"`
}

// Tables returns an HTTP handler for a table service.
func Tables(tables *backends.Tables) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Expected, Put, Remove []row }
		if !decodeBody(w, r, &body) {
			return
		}
		txn := backend.Txn{}
		for _, e := range body.Expected {
			txn.Expected = append(txn.Expected, backend.Row{RowKey: e.rowKey(), Version: e.Version})
		}
		for _, p := range body.Put {
			txn.Put = append(txn.Put, backend.Row{RowKey: p.rowKey(), Value: p.Value})
		}
		for _, k := range body.Remove {
			txn.Remove = append(txn.Remove, k.rowKey())
		}
		version, err := tables.Commit(r.Context(), txn)
		writePage(w, backend.Page{Version: version}, err)
	})
	mux.HandleFunc("GET /v1/rows-get", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		result, err := tables.Range(r.Context(), q.Get("table"), q.Get("part"), q.Get("from"))
		if to := q.Get("to"); to != "" {
			inRange := result.Rows[:0]
			for _, row := range result.Rows {
				if row.Key < to {
					inRange = append(inRange, row)
				}
			}
			result.Rows = inRange
		}
		writePage(w, result, err)
	})
	mux.HandleFunc("GET /v1/rows-feed", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		waitMS, _ := strconv.Atoi(q.Get("waitMs"))
		result, err := tables.Feed(r.Context(), q.Get("table"), after, time.Duration(waitMS)*time.Millisecond)
		writePage(w, result, err)
	})
	return mux
}

// writePage writes a page, or the status of an error. A conflict is answered with the current rows.
func writePage(w http.ResponseWriter, result backend.Page, err error) {
	status := http.StatusOK
	if err != nil {
		e := verdict.From(err)
		switch e.Code {
		case verdict.CodeConflict:
			status = http.StatusPreconditionFailed
			result.Rows, _ = e.Detail.([]backend.Row)
		case verdict.CodeExpired:
			status = http.StatusGone
		case verdict.CodeInvalid:
			status = http.StatusBadRequest
		default:
			status = http.StatusServiceUnavailable
		}
	}
	writeJSON(w, status, page{encodeRows(result.Rows), result.HasMore, result.Version})
}

// decodeBody decodes the JSON body of a request into out. If that fails, it answers with status 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Ignore the error: a client that has disconnected cannot be notified.
	_ = json.NewEncoder(w).Encode(body)
}

// Worker returns an HTTP handler for the worker with an id.
func Worker(workers *backends.Workers, id string) http.Handler {
	mux := http.NewServeMux()
	ref := backend.WorkerRef{ID: id}
	command := func(handle func(r *http.Request, body commandBody) (backend.Reply, error)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			var body commandBody
			if !checkInstance(w, r, id) || !decodeBody(w, r, &body) {
				return
			}
			reply, err := handle(r, body)
			writeReply(w, reply, err, map[string]any{"clockMs": reply.ClockMS})
		}
	}
	mux.HandleFunc("POST /v1/run-start", command(func(r *http.Request, b commandBody) (backend.Reply, error) {
		return workers.Start(r.Context(), backend.StartCommand{
			Command: b.command(ref), Payload: b.Specification, LeaseDeadlineMS: b.DeadlineMS, Checkpoint: b.Checkpoint, Ticket: b.Ticket,
		})
	}))
	mux.HandleFunc("POST /v1/run-stop", command(func(r *http.Request, b commandBody) (backend.Reply, error) {
		return workers.Stop(r.Context(), b.command(ref))
	}))
	mux.HandleFunc("POST /v1/pace", command(func(r *http.Request, b commandBody) (backend.Reply, error) {
		return workers.Throttle(r.Context(), b.command(ref), b.Percent)
	}))
	mux.HandleFunc("POST /v1/hold", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			DeadlineMS, LastSeen, WaitMS int64
			FencingToken                 uint64
		}
		if !checkInstance(w, r, id) || !decodeBody(w, r, &body) {
			return
		}
		reply, err := workers.Poll(r.Context(), backend.PollRequest{
			Worker: ref, FencingToken: body.FencingToken, LeaseDeadlineMS: body.DeadlineMS, AcknowledgedCompletion: body.LastSeen,
			Wait: time.Duration(body.WaitMS) * time.Millisecond,
		})
		running, ended := [][]any{}, [][]any{}
		for _, t := range reply.Running {
			running = append(running, []any{t.Task, t.Run, t.Checkpoint, t.ProgressPercent, t.Load})
		}
		for _, e := range reply.Finished {
			ended = append(ended, []any{e.Number, e.Task, e.Run, e.Result, e.Checkpoint})
		}
		writeReply(w, reply.Reply, err, map[string]any{
			"clockMs": reply.ClockMS, "born": reply.StartedMS, "running": running, "ended": ended,
		})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		endAtBoot(r, workers.Info(id).StartedMS)
		mux.ServeHTTP(w, r)
	})
}

// commandBody is the JSON body of the start, stop and throttle commands. Its field names are those of the protocol.
type commandBody struct {
	Task          string
	Run           int64
	Specification string
	DeadlineMS    int64
	FencingToken  uint64
	Checkpoint    string
	Ticket        string
	Percent       int
}

func (b commandBody) command(ref backend.WorkerRef) backend.Command {
	return backend.Command{Worker: ref, Task: b.Task, Run: b.Run, FencingToken: b.FencingToken}
}

// checkInstance answers with status 421 and returns false if a request is addressed to another instance.
func checkInstance(w http.ResponseWriter, r *http.Request, id string) bool {
	if r.Header.Get("Expected-Instance") != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

// refusalReasons are the names of refusals in the protocol.
var refusalReasons = map[backend.Refusal]string{
	backend.RefusedFence: "fence", backend.RefusedOldRun: "old", backend.RefusedLate: "late",
	backend.RefusedCapacity: "room", backend.RefusedTicket: "ticket",
}

// writeReply writes body with the status of a worker's reply. On an error it aborts the connection without an answer.
func writeReply(w http.ResponseWriter, reply backend.Reply, err error, body map[string]any) {
	switch {
	case err != nil:
		// The worker does not answer: abort the connection.
		panic(http.ErrAbortHandler)
	case reply.Refusal != "":
		body["reason"] = refusalReasons[reply.Refusal]
		writeJSON(w, http.StatusConflict, body)
	default:
		writeJSON(w, http.StatusOK, body)
	}
}

// Advisor returns an HTTP handler for a placement policy.
func Advisor(advisor *backends.Advisor) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/advise", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Step    string
			Workers []string
		}
		if !decodeBody(w, r, &body) {
			return
		}
		permitted, validity, err := advisor.Advise(r.Context(), body.Step, body.Workers)
		if err != nil {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		tickets := [][2]string{}
		for _, t := range permitted {
			tickets = append(tickets, [2]string{t.Worker, t.Ticket})
		}
		writeJSON(w, http.StatusOK, map[string]any{"good": tickets, "validityMs": validity.Milliseconds()})
	})
	return mux
}

// RegistryRow returns the key and value of a worker's row in the registry.
func RegistryRow(info backend.WorkerInfo) (backend.RowKey, []byte) {
	state := "ready"
	if info.Draining {
		state = "draining"
	}
	data, err := json.Marshal(map[string]any{
		"service": info.Service, "address": info.Address, "zone": info.Zone, "state": state, "labels": info.Labels,
		"born": info.StartedMS, "remainingMs": info.RemainingMS, "capacity": encodeCapacity(info.Capacity),
	})
	if err != nil {
		panic(errors.Wrapf(err, "encode registry row of worker %s", info.ID))
	}
	return backend.RowKey{Table: "servers", Key: info.ID}, data
}

func encodeCapacity(r model.Resources) map[string]int64 {
	return map[string]int64{"cpu": r.CPUMilli, "memoryRequestMb": r.MemoryMiB, "gpu": r.Accelerators}
}

// Team is a team in a configuration row; CPUMilli is its limit.
type Team struct {
	Name     string
	Keys     []string
	CPUMilli int64
}

// ConfigRow returns the key and value of a configuration row with queues of a service, one for each prefix.
func ConfigRow(version uint64, host, service string, prefixes ...string) (backend.RowKey, []byte) {
	return ConfigRowWithTeams(version, host, service, nil, prefixes...)
}

// ConfigRowWithTeams is ConfigRow with teams, whose keys all queues need.
func ConfigRowWithTeams(version uint64, host, service string, teams []Team, prefixes ...string) (backend.RowKey, []byte) {
	routes := make([]map[string]any, 0, len(prefixes))
	for _, prefix := range prefixes {
		routes = append(routes, map[string]any{
			"name": QueueName(prefix), "host": host, "prefix": prefix, "service": service, "priority": 0, "maxAttempts": MaxAttempts,
			"stretch": 1.5, "targetDurationMs": 250,
			"advice": map[string]any{"decisionMs": 10, "perItemMs": 0.1, "validityMs": 2500},
		})
	}
	config := map[string]any{"version": version, "routes": routes, "services": []map[string]any{{"name": service}}}
	if len(teams) > 0 {
		var tenants []map[string]any
		for _, t := range teams {
			tenants = append(tenants, map[string]any{
				"name": t.Name, "apiKeys": t.Keys, "weight": 1000, "maximum": map[string]any{"cpu": t.CPUMilli},
			})
		}
		config["tenants"] = tenants
	}
	data, err := json.Marshal(config)
	if err != nil {
		panic(errors.Wrapf(err, "encode configuration version %d", version))
	}
	return backend.RowKey{Table: "op", Key: "config"}, data
}

// MaxAttempts is the number of failed runs of a task after which the job has failed, in all queues of ConfigRowWithTeams.
const MaxAttempts = 3

// QueueName returns the name of the queue with a path prefix in the rows of ConfigRowWithTeams.
func QueueName(prefix string) string { return "queue" + prefix }
