package demo

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/api"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/intent"
)

const (
	// requestTimeout limits a request, including all its attempts.
	requestTimeout = 8 * time.Second
	// attemptTimeout limits one attempt.
	attemptTimeout = 4 * time.Second
	// minRetryDelay is the minimum delay between two attempts, before jitter.
	minRetryDelay = 50 * time.Millisecond
	// ticketBatchSize is the number of tickets fetched at once.
	ticketBatchSize = 50
)

// client sends each request to a random instance, as the platform's load balancer does.
type client struct {
	instances []*jsonhttp.Client

	// mu protects tickets. It is held while more are fetched, so that only one fetch runs at a time.
	mu      sync.Mutex
	tickets []string
}

func newClient(urls []string) *client {
	c := &client{}
	for _, url := range urls {
		c.instances = append(c.instances, jsonhttp.NewClient(url, nil))
	}
	return c
}

// attempt sends a request once to a random instance.
func (c *client) attempt(ctx context.Context, method, path string, header http.Header, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	header = header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(api.HeaderTimeoutMS, strconv.FormatInt(attemptTimeout.Milliseconds(), 10))
	_, err := c.instances[rand.IntN(len(c.instances))].Do(ctx, method, path, header, body, out)
	return err
}

// retry repeats an idempotent attempt until it succeeds, fails with a final error, or requestTimeout has passed.
func retry(ctx context.Context, attempt func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for {
		err := attempt(ctx)
		if err == nil || isFinal(err) {
			return err
		}
		waitBeforeRetry(ctx, err)
		if ctx.Err() != nil {
			return err
		}
	}
}

// isFinal reports whether err is permanent, so that a retry cannot succeed.
func isFinal(err error) bool {
	switch verdict.From(err).Code {
	case verdict.CodeInvalid, verdict.CodeStalePlan, verdict.CodeConflict, verdict.CodeExpired, verdict.CodeFailed:
		return true
	default:
		return false
	}
}

// waitBeforeRetry waits for the retry delay of err with jitter, or until ctx ends.
func waitBeforeRetry(ctx context.Context, err error) {
	d := max(minRetryDelay, verdict.From(err).RetryAfter)
	select {
	case <-time.After(d/2 + rand.N(d)):
	case <-ctx.Done():
	}
}

// isStale reports whether err means that a plan is stale or no longer known.
func isStale(err error) bool {
	if err == nil {
		return false
	}
	code := verdict.From(err).Code
	return code == verdict.CodeStalePlan || code == verdict.CodeNotFound
}

func (c *client) plan(ctx context.Context, spec model.IntentSpec) (model.Plan, error) {
	var plan model.Plan
	err := c.post(ctx, "/v1/plans", spec, &plan)
	return plan, err
}

// confirm confirms a plan. It can be retried, since a second confirmation of a plan returns the result of the first.
func (c *client) confirm(ctx context.Context, plan string) (model.Intent, error) {
	var in model.Intent
	err := c.post(ctx, "/v1/plans/"+plan+"/confirm", struct{}{}, &in)
	return in, err
}

func (c *client) cancel(ctx context.Context, id string) error {
	return c.post(ctx, "/v1/intents/"+id+"/cancel", struct{}{}, nil)
}

// explain requests the explanation of one task's state.
func (c *client) explain(ctx context.Context, id string, task model.TaskID) (intent.Explanation, error) {
	var reply api.ExplainReply
	path := "/v1/intents/" + id + "/explain?task=" + url.QueryEscape(string(task))
	err := retry(ctx, func(ctx context.Context) error { return c.attempt(ctx, http.MethodGet, path, nil, nil, &reply) })
	if err != nil {
		return intent.Explanation{}, err
	}
	if len(reply.Explanations) == 0 {
		return intent.Explanation{}, errors.Newf("the reply has no explanation of task %s of intent %s", task, id)
	}
	return reply.Explanations[0], nil
}

// post sends an idempotent request and retries it.
func (c *client) post(ctx context.Context, path string, in, out any) error {
	body, err := encode(in)
	if err != nil {
		return err
	}
	return retry(ctx, func(ctx context.Context) error { return c.attempt(ctx, http.MethodPost, path, nil, body, out) })
}

// ticket returns an unused ticket. It fetches a batch when none are left.
func (c *client) ticket(ctx context.Context, id string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.tickets) == 0 {
		var reply api.TicketsReply
		if err := c.post(ctx, "/v1/intents/"+id+"/tickets", api.TicketsRequest{Count: ticketBatchSize}, &reply); err != nil {
			return "", err
		}
		c.tickets = reply.Tickets
	}
	if len(c.tickets) == 0 {
		return "", errors.Newf("no tickets were issued for intent %s", id)
	}
	t := c.tickets[0]
	c.tickets = c.tickets[1:]
	return t, nil
}

// call sends one call with the payload. It repeats attempts with the same ticket, which runs at most once. It uses a new
// ticket only if no attempt with the old one can have run: either the owner reports so (conflict), or an owner without a
// record of the ticket rejects it as expired and no earlier attempt may have run.
func (c *client) call(ctx context.Context, id, payload string) (reply api.CallReply, err error) {
	body, err := encode(api.CallRequest{Payload: payload})
	if err != nil {
		return reply, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for {
		ticket, err := c.ticket(ctx, id)
		if err != nil {
			return reply, verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "tickets")
		}
		reply, earlierMayHaveRun, err := c.callWithTicket(ctx, id, ticket, body)
		if err == nil || ctx.Err() != nil {
			return reply, err
		}
		e := verdict.From(err)
		cancelled := e.Code == verdict.CodeConflict && e.Verdict == verdict.NotRun
		expired := e.Code == verdict.CodeExpired && !earlierMayHaveRun
		if !cancelled && !expired {
			return reply, err
		}
	}
}

// callWithTicket repeats a call with one ticket until it succeeds, fails with a final error, or ctx ends. earlierMayHaveRun
// reports whether an attempt before the last one may have run.
func (c *client) callWithTicket(ctx context.Context, id, ticket string, body []byte) (reply api.CallReply, earlierMayHaveRun bool, err error) {
	header := http.Header{api.HeaderTicket: {ticket}}
	for {
		reply = api.CallReply{}
		err = c.attempt(ctx, http.MethodPost, "/v1/intents/"+id+"/calls", header, body, &reply)
		if err == nil || isFinal(err) {
			return reply, earlierMayHaveRun, err
		}
		earlierMayHaveRun = earlierMayHaveRun || verdict.Of(err) == verdict.MayHaveRun
		waitBeforeRetry(ctx, err)
		if ctx.Err() != nil {
			if earlierMayHaveRun {
				err = verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable, "call abandoned")
			}
			return reply, earlierMayHaveRun, err
		}
	}
}
