// Package api serves callers over HTTP with kratos' HTTP transport. A request is decoded strictly, sent to the owner of
// its partition at most once, and answered with a typed result or an error that carries a verdict. Values live as long as
// one request, but for Server.
package api

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/instance"
	"github.com/lentiltide/lentiltide/request/verdict"
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
	// HeaderDigest is the xxhash64 of the answer's body in hexadecimal.
	HeaderDigest = "Lentiltide-Digest"
)

// Backend is the part of an instance that the API needs. Errors are *verdict.Error.
type Backend interface {
	Route(partition int) (address string, local bool, err error)
	Forward(ctx context.Context, address string, f *peerpb.Forward) (*peerpb.ForwardReply, error)
	Plan(ctx context.Context, partition int, spec model.IntentSpec) (model.Plan, error)
	GetPlan(partition int, id string) (model.Plan, error)
	Confirm(ctx context.Context, partition int, planID string) (model.Intent, error)
	Cancel(ctx context.Context, partition int, id string) (model.Intent, error)
	Status(partition int, id string) (intent.Status, error)
	Tickets(partition int, id string, count int) ([]model.StartToken, error)
	Call(ctx context.Context, partition int, id string, ticket model.StartToken, payload []byte) (model.Outcome, error)
	Dump() instance.Dump
}

var _ Backend = (*instance.Instance)(nil)

// Server is the HTTP API of one instance.
type Server struct {
	backend Backend
	http    *khttp.Server
}

// New returns the API on an address. An address with port 0 takes a free port.
func New(address string, backend Backend) *Server {
	s := &Server{backend: backend, http: khttp.NewServer(khttp.Address(address), khttp.Timeout(0))}
	r := s.http.Route("/v1")
	r.POST("/plans", s.handle(s.partitionOfSpec, s.plan))
	r.GET("/plans/{id}", s.handle(s.partitionOfID, s.getPlan))
	r.POST("/plans/{id}/confirm", s.handle(s.partitionOfID, s.confirm))
	r.GET("/intents/{id}", s.handle(s.partitionOfID, s.status))
	r.POST("/intents/{id}/cancel", s.handle(s.partitionOfID, s.cancel))
	r.POST("/intents/{id}/tickets", s.handle(s.partitionOfID, s.tickets))
	r.POST("/intents/{id}/calls", s.handle(s.partitionOfID, s.call))
	r.GET("/dump", s.handle(nil, s.dump))
	return s
}

// HTTP returns the kratos server, which is started and stopped by the caller.
func (s *Server) HTTP() *khttp.Server { return s.http }

// partitionOfSpec finds the partition of a stated intent.
func (s *Server) partitionOfSpec(req *request) (int, error) {
	if err := req.decode(&req.spec); err != nil {
		return 0, err
	}
	if err := req.spec.Check(); err != nil {
		return 0, err
	}
	return model.IntentPartition(req.spec.Account, req.spec.Team), nil
}

// partitionOfID finds the partition in an id such as i17-….
func (s *Server) partitionOfID(req *request) (int, error) {
	head, _, ok := strings.Cut(req.id, "-")
	if !ok || len(head) < 2 || (head[0] != 'i' && head[0] != 'p') {
		return 0, verdict.Invalid("id", "expected an id of a plan or an intent, got %q", req.id)
	}
	n, err := strconv.Atoi(head[1:])
	if err != nil || n < 0 || n >= model.IntentPartitions {
		return 0, verdict.Invalid("id", "expected an id of a plan or an intent, got %q", req.id)
	}
	return n, nil
}

func (s *Server) plan(ctx context.Context, req *request) (any, error) {
	return s.backend.Plan(ctx, req.partition, req.spec)
}

func (s *Server) getPlan(_ context.Context, req *request) (any, error) {
	return s.backend.GetPlan(req.partition, req.id)
}

func (s *Server) confirm(ctx context.Context, req *request) (any, error) {
	return s.backend.Confirm(ctx, req.partition, req.id)
}

func (s *Server) cancel(ctx context.Context, req *request) (any, error) {
	return s.backend.Cancel(ctx, req.partition, req.id)
}

func (s *Server) status(_ context.Context, req *request) (any, error) {
	return s.backend.Status(req.partition, req.id)
}

func (s *Server) dump(context.Context, *request) (any, error) { return s.backend.Dump(), nil }

// TicketsRequest asks for a block of tickets.
type TicketsRequest struct {
	Count int `json:"count"`
}

// TicketsReply holds tickets in the form of HeaderTicket.
type TicketsReply struct {
	Tickets []string `json:"tickets"`
}

func (s *Server) tickets(_ context.Context, req *request) (any, error) {
	var in TicketsRequest
	if err := req.decode(&in); err != nil {
		return nil, err
	}
	tickets, err := s.backend.Tickets(req.partition, req.id, in.Count)
	if err != nil {
		return nil, err
	}
	reply := TicketsReply{Tickets: make([]string, len(tickets))}
	for i, t := range tickets {
		reply.Tickets[i] = FormatTicket(t)
	}
	return reply, nil
}

// CallRequest is a call of a standing intent.
type CallRequest struct {
	// Payload is passed to the worker unchanged.
	Payload string `json:"payload"`
}

// CallReply is the answer of a call.
type CallReply struct {
	Task    model.TaskID    `json:"task"`
	Verdict verdict.Verdict `json:"verdict"`
	// Answer is what the task returned.
	Answer string `json:"answer"`
}

func (s *Server) call(ctx context.Context, req *request) (any, error) {
	var in CallRequest
	if err := req.decode(&in); err != nil {
		return nil, err
	}
	if len(in.Payload) > model.MaxPayloadBytes {
		return nil, verdict.Invalid("payload", "expected at most %d bytes, got %d", model.MaxPayloadBytes, len(in.Payload))
	}
	ticket, err := ParseTicket(req.header.Get(HeaderTicket))
	if err != nil {
		return nil, err
	}
	out, err := s.backend.Call(ctx, req.partition, req.id, ticket, []byte(in.Payload))
	if err != nil {
		return nil, err
	}
	return callReply(out)
}

func callReply(out model.Outcome) (any, error) {
	switch out.State {
	case model.OutcomeFinished:
		return CallReply{Task: out.Task, Verdict: verdict.Ran, Answer: string(out.Answer)}, nil
	case model.OutcomeFailed:
		return nil, verdict.New(verdict.Ran, verdict.CodeFailed, "the task failed: %s", out.Error)
	case model.OutcomeNotStarted:
		return nil, verdict.New(verdict.NotRun, verdict.CodeConflict, "the call was cancelled before it started")
	default:
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the outcome of the call is unknown: %s", out.State)
	}
}

var _ http.Handler = (*khttp.Server)(nil)
