// Package worker is the HTTP client of worker agents. The connections of its clients are pooled by their Dialer.
package worker

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/worker"
)

// Paths of an agent's HTTP API, relative to its base URL.
const (
	PathFence    = "/fence"
	PathStart    = "/start"
	PathSync     = "/sync"
	PathStop     = "/stop"
	PathThrottle = "/throttle"
)

// maxConnsPerWorker limits the connections to one worker. A worker has about 60 connections in total, and its tasks
// need most of them.
const maxConnsPerWorker = 4

// Dialer returns clients for agents over HTTP, which share a connection pool. It is safe for concurrent use.
//
// Each address has a circuit breaker. After consecutive requests without a reply, requests to the address fail
// immediately with NotRun for a time that doubles with each failure; then a single request probes the worker.
type Dialer struct {
	transport *http.Transport

	mu       sync.Mutex // protects breakers
	breakers map[string]*breaker
}

var _ worker.Dialer = (*Dialer)(nil)

// NewDialer returns a dialer with its own connection pool.
func NewDialer() *Dialer {
	return &Dialer{breakers: map[string]*breaker{}, transport: &http.Transport{
		MaxConnsPerHost: maxConnsPerWorker, MaxIdleConnsPerHost: maxConnsPerWorker, IdleConnTimeout: time.Minute,
	}}
}

// Dial implements worker.Dialer.
func (d *Dialer) Dial(address string) worker.Agent {
	return agent{http: jsonhttp.NewClient(address, d.transport), breaker: d.breaker(address)}
}

// breaker returns the breaker of an address, creating it if needed. When there are maxBreakers, it drops the idle ones.
func (d *Dialer) breaker(address string) *breaker {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b := d.breakers[address]; b != nil {
		return b
	}
	if len(d.breakers) >= maxBreakers {
		for candidate, b := range d.breakers {
			if b.idle(time.Now()) {
				delete(d.breakers, candidate)
			}
		}
	}
	b := &breaker{}
	d.breakers[address] = b
	return b
}

// agent implements worker.Agent.
type agent struct {
	http    *jsonhttp.Client
	breaker *breaker
}

// post sends a request unless the breaker is open, and records the result in the breaker.
func (a agent) post(ctx context.Context, path string, in, out any) error {
	if err := a.breaker.allow(time.Now()); err != nil {
		return err
	}
	err := a.http.Post(ctx, path, in, out)
	if errors.Is(ctx.Err(), context.Canceled) {
		a.breaker.recordCancelled()
	} else {
		a.breaker.recordResult(time.Now(), isAnswer(err))
	}
	return err
}

func (a agent) Fence(ctx context.Context, req worker.FenceRequest) (worker.Inventory, error) {
	var reply worker.Inventory
	err := a.post(ctx, PathFence, req, &reply)
	return reply, err
}

func (a agent) Start(ctx context.Context, req worker.StartRequest) (worker.StartReply, error) {
	var reply worker.StartReply
	err := a.post(ctx, PathStart, req, &reply)
	return reply, err
}

func (a agent) Sync(ctx context.Context, req worker.SyncRequest) (worker.SyncReply, error) {
	var reply worker.SyncReply
	err := a.post(ctx, PathSync, req, &reply)
	return reply, err
}

func (a agent) Stop(ctx context.Context, req worker.StopRequest) error {
	return a.post(ctx, PathStop, req, nil)
}

func (a agent) Throttle(ctx context.Context, req worker.ThrottleRequest) error {
	return a.post(ctx, PathThrottle, req, nil)
}
