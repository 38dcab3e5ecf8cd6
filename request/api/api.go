// Package api serves callers over HTTP with kratos' HTTP transport. A request is decoded strictly, sent to the owner of
// its partition at most once, and answered with a typed result or an error that carries a verdict. Values live as long as
// one request, but for Server.
package api

import (
	"context"
	"net/http"
	"path"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/instance"
	"github.com/lentiltide/lentiltide/request/limit"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/config"
	"github.com/lentiltide/lentiltide/version/intent"
)

// Headers of the HTTP contract.
const (
	// HeaderRequestID names a request; the answer repeats it.
	HeaderRequestID = "X-Request-Id"
	// HeaderTicket carries a ticket as partition-epoch-sequence.
	HeaderTicket = "Lentiltide-Ticket"
	// HeaderIdempotencyKey carries a key chosen by the client.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeoutMS is the time until the caller gives up, in milliseconds.
	HeaderTimeoutMS = "Lentiltide-Timeout-Ms"
	// HeaderClient names the client whose limits apply; without it the caller's IP address counts as the client.
	HeaderClient = "Lentiltide-Client"
	// HeaderDigest is the xxhash64 of the answer's body in hexadecimal.
	HeaderDigest = jsonhttp.HeaderDigest
)

// Backend is the part of an instance that the API needs. Errors are *verdict.Error.
type Backend interface {
	Admit(ctx context.Context, key limit.Key) (release func(), err error)
	Dispatch(ctx context.Context, req instance.Request, forward func() *peerpb.Forward, local func(context.Context) error) (*peerpb.ForwardReply, error)
	Serve(ctx context.Context, req instance.Request, local func(context.Context) error) error
	Plan(ctx context.Context, partition int, spec model.IntentSpec) (model.Plan, error)
	GetPlan(partition int, id string) (model.Plan, error)
	Confirm(ctx context.Context, partition int, planID string) (model.Intent, error)
	Cancel(ctx context.Context, partition int, id string) (model.Intent, error)
	Status(partition int, id string) (intent.Status, error)
	Explain(ctx context.Context, partition int, task model.TaskID) (intent.Explanation, error)
	Tickets(partition int, id string, count int) ([]model.StartToken, error)
	Call(ctx context.Context, partition int, id string, ticket model.StartToken, key string, payload []byte) (model.Outcome, error)
	Config() config.Applied
	ConfigPlan(ctx context.Context, document []byte) (instance.ConfigPlan, error)
	ConfigConfirm(ctx context.Context, planID string) (instance.ConfigStatus, error)
	ConfigStatus(ctx context.Context) (instance.ConfigStatus, error)
	Dump(limit int) instance.Dump
	// OwnerEpoch returns the epoch of an intent partition as last read; 0 if it is unknown.
	OwnerEpoch(partition int) uint64
	// WorkerCapacities returns the capacities of the workers that the platform lists.
	WorkerCapacities() []model.Resources
}

var _ Backend = (*instance.Instance)(nil)

// Observer is told about each request that was answered, for metrics.
type Observer interface {
	// Request is called with the class and the name of the operation, the verdict and the code of the answer; the code is
	// empty for a success.
	Request(class model.Class, operation string, v verdict.Verdict, code verdict.Code, took time.Duration)
	// Forwarded is called when a request was sent to another instance.
	Forwarded(operation string, v verdict.Verdict)
}

// Options are the parts of a server.
type Options struct {
	// Address is host:port; port 0 takes a free port.
	Address string
	Backend Backend
	Clock   clockwork.Clock
	Log     logrus.FieldLogger
	// Observer may be nil.
	Observer Observer
	// Metrics is served at /metrics; nil serves none.
	Metrics http.Handler
}

// Server is the HTTP API of one instance.
type Server struct {
	opts    Options
	backend Backend
	http    *khttp.Server
	drain   drain
}

// readHeaderTimeout bounds how long a connection may take to send its headers.
const readHeaderTimeout = 10 * time.Second

// New returns the API of a backend.
func New(opts Options) *Server {
	s := &Server{opts: opts, backend: opts.Backend}
	s.http = khttp.NewServer(
		khttp.Address(opts.Address), khttp.Timeout(0), khttp.StrictSlash(false), khttp.Filter(s.rejectUncleanPath),
		khttp.NotFoundHandler(http.HandlerFunc(s.notFound)), khttp.MethodNotAllowedHandler(http.HandlerFunc(s.wrongMethod)),
	)
	s.http.ReadHeaderTimeout = readHeaderTimeout
	r := s.http.Route("/v1")
	r.POST("/plans", s.handle(operation{name: "plan", class: model.ClassService, partition: s.partitionOfSpec, serve: s.plan}))
	r.GET("/plans/{id}", s.handle(operation{name: "get_plan", class: model.ClassService, readOnly: true, partition: s.partitionOfID, serve: s.getPlan}))
	r.POST("/plans/{id}/confirm", s.handle(operation{name: "confirm", class: model.ClassUrgent, partition: s.partitionOfID, serve: s.confirm}))
	r.GET("/intents/{id}", s.handle(operation{name: "status", class: model.ClassService, readOnly: true, query: []string{"limit"}, partition: s.partitionOfID, serve: s.status}))
	r.POST("/intents/{id}/cancel", s.handle(operation{name: "cancel", class: model.ClassUrgent, partition: s.partitionOfID, serve: s.cancel}))
	r.POST("/intents/{id}/tickets", s.handle(operation{name: "tickets", class: model.ClassShort, partition: s.partitionOfID, serve: s.tickets}))
	r.POST("/intents/{id}/calls", s.handle(operation{name: "call", class: model.ClassShort, partition: s.partitionOfID, serve: s.call}))
	r.GET("/intents/{id}/explain", s.handle(operation{name: "explain", class: model.ClassBatch, readOnly: true, query: []string{"task"}, partition: s.partitionOfID, serve: s.explain}))
	r.GET("/config", s.handle(operation{name: "config", class: model.ClassService, readOnly: true, serve: s.showConfig}))
	r.GET("/config/status", s.handle(operation{name: "config_status", class: model.ClassService, readOnly: true, serve: s.configStatus}))
	r.POST("/config/plans", s.handle(operation{name: "plan_config", serve: s.planConfig}))
	r.POST("/config/plans/{id}/confirm", s.handle(operation{name: "confirm_config", serve: s.confirmConfig}))
	r.GET("/dump", s.handle(operation{name: "dump", readOnly: true, query: []string{"limit"}, serve: s.dump}))
	if opts.Metrics != nil {
		s.http.Handle("/metrics", opts.Metrics)
	}
	return s
}

// rejectUncleanPath answers paths such as /v1//plans, which the router would redirect.
func (s *Server) rejectUncleanPath(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != path.Clean(r.URL.Path) {
			s.notFound(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, r, verdict.New(verdict.NotRun, verdict.CodeNotFound, "unknown path; docs/api.md lists the paths"))
}

func (s *Server) wrongMethod(w http.ResponseWriter, r *http.Request) {
	err := verdict.Invalid("method", "the path does not support %s; docs/api.md lists the methods", r.Method)
	s.refuse(w, r, err)
}

// refuse answers a request that belongs to no operation.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, err error) {
	id := r.Header.Get(HeaderRequestID)
	if !visible(id, maxHeaderText) {
		id = uuid.NewString()
	}
	w.Header().Set(HeaderRequestID, id)
	writeError(w, id, err)
	s.observe(r.Context(), &request{requestID: id, partition: noPartition}, operation{name: "unknown", class: model.ClassService}, 0, err)
}

// observe logs and counts an answered request. Nothing that a caller wrote is logged except the request id.
func (s *Server) observe(ctx context.Context, req *request, op operation, took time.Duration, err error) {
	v, code := verdict.Of(err), verdict.Code("")
	if err != nil {
		code = verdict.From(err).Code
	}
	if s.opts.Observer != nil {
		s.opts.Observer.Request(op.class, op.name, v, code, took)
	}
	fields := logrus.Fields{
		"request_id": req.requestID, "operation": op.name, "verdict": v.String(), "code": string(code),
		"took_ms": took.Milliseconds(), "forwarded_here": ctx.Value(forwardedKey{}) != nil,
	}
	if req.status != 0 {
		fields["owner_status"] = req.status
	}
	if req.partition != noPartition {
		fields["partition"] = req.partition
		fields["epoch"] = s.backend.OwnerEpoch(req.partition)
	}
	entry := s.opts.Log.WithFields(fields)
	switch {
	case code == verdict.CodeInternal:
		entry.WithError(err).Error("request failed")
	case err != nil && v == verdict.MayHaveRun:
		entry.Warn("request may have run")
	case err != nil:
		entry.Info("request refused")
	default:
		entry.Debug("request answered")
	}
}

// HTTP returns the kratos server, which is started and stopped by the caller.
func (s *Server) HTTP() *khttp.Server { return s.http }
