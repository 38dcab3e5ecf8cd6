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
	// requestTimeout is how long a caller keeps trying.
	requestTimeout = 8 * time.Second
	// attemptTimeout bounds one attempt.
	attemptTimeout = 4 * time.Second
	// minRetryDelay is the shortest time between two attempts.
	minRetryDelay = 50 * time.Millisecond
	// ticketBatchSize is the number of tickets fetched at once.
	ticketBatchSize = 50
)

// client sends requests to any instance, as the platform's load balancer does.
type client struct {
	instances []*jsonhttp.Client

	// mu protects the tickets.
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

// retry repeats an attempt that may be repeated until it succeeds, is refused for good, or the bound has passed.
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

// isFinal reports whether a repetition cannot succeed.
func isFinal(err error) bool {
	switch verdict.From(err).Code {
	case verdict.CodeInvalid, verdict.CodeStalePlan, verdict.CodeConflict, verdict.CodeExpired, verdict.CodeFailed:
		return true
	default:
		return false
	}
}

// waitBeforeRetry waits for the retry time of an error, with jitter.
func waitBeforeRetry(ctx context.Context, err error) {
	d := max(minRetryDelay, verdict.From(err).RetryAfter)
	select {
	case <-time.After(d/2 + rand.N(d)):
	case <-ctx.Done():
	}
}

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

// confirm may be repeated, since a second confirmation of a plan returns the first result.
func (c *client) confirm(ctx context.Context, plan string) (model.Intent, error) {
	var in model.Intent
	err := c.post(ctx, "/v1/plans/"+plan+"/confirm", struct{}{}, &in)
	return in, err
}

func (c *client) cancel(ctx context.Context, id string) error {
	return c.post(ctx, "/v1/intents/"+id+"/cancel", struct{}{}, nil)
}

// explain asks why one task is in its state.
func (c *client) explain(ctx context.Context, id string, task model.TaskID) (intent.Explanation, error) {
	var reply api.ExplainReply
	path := "/v1/intents/" + id + "/explain?task=" + url.QueryEscape(string(task))
	err := retry(ctx, func(ctx context.Context) error { return c.attempt(ctx, http.MethodGet, path, nil, nil, &reply) })
	if err != nil {
		return intent.Explanation{}, err
	}
	if len(reply.Explanations) == 0 {
		return intent.Explanation{}, errors.New("no explanation")
	}
	return reply.Explanations[0], nil
}

// post repeats a request that has the same effect once or many times.
func (c *client) post(ctx context.Context, path string, in, out any) error {
	body, err := encode(in)
	if err != nil {
		return err
	}
	return retry(ctx, func(ctx context.Context) error { return c.attempt(ctx, http.MethodPost, path, nil, body, out) })
}

// ticket returns an unused ticket.
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
		return "", errors.New("no tickets were issued")
	}
	t := c.tickets[0]
	c.tickets = c.tickets[1:]
	return t, nil
}

// call runs one order. It repeats attempts with the same ticket, which runs at most once. A new ticket is taken only
// when every attempt with the old one certainly did not run: the owner says so (conflict), or an owner without a record of
// the ticket refuses the first attempt (expired).
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

// callWithTicket repeats a call with one ticket. sentBefore reports whether an attempt before the last may have run.
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
				err = verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable, "gave up")
			}
			return reply, earlierMayHaveRun, err
		}
	}
}
