// Package api serves callers over HTTP with kratos' HTTP transport. A request is decoded strictly, sent to the owner of
// its partition at most once, and answered with a typed result or an error that has a verdict. Values other than Server
// are scoped to one request.
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
	// HeaderRequestID identifies a request; the response repeats it.
	HeaderRequestID = "X-Request-Id"
	// HeaderTicket is a ticket in the form partition-epoch-sequence.
	HeaderTicket = "Lentiltide-Ticket"
	// HeaderIdempotencyKey is an idempotency key chosen by the client.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeoutMS is the caller's timeout for the request in milliseconds.
	HeaderTimeoutMS = "Lentiltide-Timeout-Ms"
	// HeaderClient is the client whose limits apply; without it the caller's IP address is the client.
	HeaderClient = "Lentiltide-Client"
	// HeaderDigest is the xxhash64 of the response body in hexadecimal.
	HeaderDigest = jsonhttp.HeaderDigest
)

// Backend defines the methods of an instance that the API uses. Errors are *verdict.Error.
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
	IssueTickets(partition int, id string, count int) ([]model.StartToken, error)
	Call(ctx context.Context, partition int, id string, ticket model.StartToken, key string, payload []byte) (model.Outcome, error)
	Config() config.Applied
	PlanConfig(ctx context.Context, document []byte) (instance.ConfigPlan, error)
	ConfirmConfig(ctx context.Context, planID string) (instance.ConfigStatus, error)
	ConfigStatus(ctx context.Context) (instance.ConfigStatus, error)
	Dump(limit int) instance.Dump
	// OwnerEpoch returns the last known epoch of an intent partition, or 0 if it is unknown.
	OwnerEpoch(partition int) uint64
	// WorkerCapacities returns the capacities of the workers that the platform lists.
	WorkerCapacities() []model.Resources
}

var _ Backend = (*instance.Instance)(nil)

// Observer is notified of requests, for metrics.
type Observer interface {
	// ObserveRequest is called for each answered request with the class and name of the operation, and with the verdict and
	// code of the response; the code is empty on success.
	ObserveRequest(class model.Class, operation string, v verdict.Verdict, code verdict.Code, took time.Duration)
	// ObserveForward is called for each request that was forwarded to another instance.
	ObserveForward(operation string, v verdict.Verdict)
}

// Options configure a server.
type Options struct {
	// Address is the listen address, host:port; port 0 selects a free port.
	Address string
	Backend Backend
	Clock   clockwork.Clock
	Log     logrus.FieldLogger
	// Observer may be nil.
	Observer Observer
	// Metrics is served at /metrics; if it is nil, that path is not served.
	Metrics http.Handler
}

// Server is the HTTP API of one instance.
type Server struct {
	opts    Options
	backend Backend
	http    *khttp.Server
	drain   drainState
}

// readHeaderTimeout bounds how long a connection may take to send its headers.
const readHeaderTimeout = 10 * time.Second

// New returns a server for a backend. The caller starts it through HTTP.
func New(opts Options) *Server {
	s := &Server{opts: opts, backend: opts.Backend}
	s.http = khttp.NewServer(
		khttp.Address(opts.Address), khttp.Timeout(0), khttp.StrictSlash(false), khttp.Filter(s.rejectUncleanPath),
		khttp.NotFoundHandler(http.HandlerFunc(s.notFound)), khttp.MethodNotAllowedHandler(http.HandlerFunc(s.methodNotAllowed)),
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
	r.GET("/config", s.handle(operation{name: "config", class: model.ClassService, readOnly: true, serve: s.getConfig}))
	r.GET("/config/status", s.handle(operation{name: "config_status", class: model.ClassService, readOnly: true, serve: s.configStatus}))
	r.POST("/config/plans", s.handle(operation{name: "plan_config", serve: s.planConfig}))
	r.POST("/config/plans/{id}/confirm", s.handle(operation{name: "confirm_config", serve: s.confirmConfig}))
	r.GET("/dump", s.handle(operation{name: "dump", readOnly: true, query: []string{"limit"}, serve: s.dump}))
	if opts.Metrics != nil {
		s.http.Handle("/metrics", opts.Metrics)
	}
	return s
}

// rejectUncleanPath responds with an error to paths such as /v1//plans, which the router would redirect.
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
	s.refuseUnrouted(w, r, verdict.New(verdict.NotRun, verdict.CodeNotFound, "unknown path; docs/api.md lists the paths"))
}

func (s *Server) methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	err := verdict.Invalid("method", "the path does not support %s; docs/api.md lists the methods", r.Method)
	s.refuseUnrouted(w, r, err)
}

// refuseUnrouted responds with err to a request that matches no operation.
func (s *Server) refuseUnrouted(w http.ResponseWriter, r *http.Request, err error) {
	id := r.Header.Get(HeaderRequestID)
	if !isVisibleASCII(id, maxHeaderTextBytes) {
		id = uuid.NewString()
	}
	w.Header().Set(HeaderRequestID, id)
	writeError(w, id, err)
	s.observe(r.Context(), &request{requestID: id, partition: noPartition}, operation{name: "unknown", class: model.ClassService}, 0, err)
}

// observe logs an answered request and reports it to the observer. The request id is the only input of the caller that
// is logged.
func (s *Server) observe(ctx context.Context, req *request, op operation, took time.Duration, err error) {
	v, code := verdict.Of(err), verdict.Code("")
	if err != nil {
		code = verdict.From(err).Code
	}
	if s.opts.Observer != nil {
		s.opts.Observer.ObserveRequest(op.class, op.name, v, code, took)
	}
	fields := logrus.Fields{
		"request_id": req.requestID, "operation": op.name, "verdict": v.String(), "code": string(code),
		"took_ms": took.Milliseconds(), "forwarded_here": ctx.Value(forwardedKey{}) != nil,
	}
	if req.ownerStatus != 0 {
		fields["owner_status"] = req.ownerStatus
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
		entry.Info("request answered with an error")
	default:
		entry.Debug("request answered")
	}
}

// HTTP returns the kratos server. The caller starts it, and stops it with Stop.
func (s *Server) HTTP() *khttp.Server { return s.http }
