package api

import (
	"context"
	"net/http"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// TicketsRequest requests a number of tickets.
type TicketsRequest struct {
	Count int `json:"count"`
}

// TicketsReply holds tickets in the format of HeaderTicket.
type TicketsReply struct {
	Tickets []string `json:"tickets"`
}

func (s *Server) tickets(_ context.Context, req *request) (any, error) {
	var in TicketsRequest
	if err := req.decode(&in); err != nil {
		return nil, err
	}
	tickets, err := s.backend.IssueTickets(req.partition, req.id, in.Count)
	if err != nil {
		return nil, err
	}
	reply := TicketsReply{Tickets: make([]string, len(tickets))}
	for i, t := range tickets {
		reply.Tickets[i] = FormatTicket(t)
	}
	return reply, nil
}

// CallRequest is the body of a call of an intent of kind call.
type CallRequest struct {
	// Payload is passed to the worker unchanged.
	Payload string `json:"payload"`
}

// CallReply is the response to a call that finished.
type CallReply struct {
	Task    model.TaskID    `json:"task"`
	Verdict verdict.Verdict `json:"verdict"`
	// Answer is the result that the task returned.
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
	ticket, err := callTicket(req.header)
	if err != nil {
		return nil, err
	}
	out, err := s.backend.Call(ctx, req.partition, req.id, ticket, req.header.Get(HeaderIdempotencyKey), []byte(in.Payload))
	if err != nil {
		return nil, err
	}
	return callReply(out)
}

// callTicket returns the ticket of a call and checks its idempotency key. Either of them prevents a second run of the
// call; a call may not have both.
func callTicket(header http.Header) (model.StartToken, error) {
	ticket, err := ParseTicket(header.Get(HeaderTicket))
	key := header.Get(HeaderIdempotencyKey)
	switch {
	case err != nil:
		return ticket, err
	case key != "" && !isVisibleASCII(key, maxHeaderTextBytes):
		return ticket, verdict.Invalid(HeaderIdempotencyKey, "expected 1 to %d visible ASCII characters", maxHeaderTextBytes)
	case key != "" && !ticket.IsZero():
		return ticket, verdict.Invalid(HeaderIdempotencyKey, "expected either a ticket or an %s, got both", HeaderIdempotencyKey)
	}
	return ticket, nil
}

func callReply(out model.Outcome) (any, error) {
	switch out.State {
	case model.OutcomeFinished:
		return CallReply{Task: out.Task, Verdict: verdict.Ran, Answer: string(out.Answer)}, nil
	case model.OutcomeFailed:
		return nil, verdict.New(verdict.Ran, verdict.CodeFailed, "the task failed: %s", out.Error)
	case model.OutcomeNotStarted:
		return nil, verdict.New(verdict.NotRun, verdict.CodeConflict, "no attempt with this ticket or key ran or will run: %s", out.Error)
	default:
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the outcome of the call is unknown: %s", out.State)
	}
}
