// Package worker is the HTTP client of worker agents. An agent client lives as long as its pooled connections.
package worker

import (
	"context"
	"net/http"
	"time"

	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/worker"
)

// Paths of an agent's HTTP interface, below its base URL.
const (
	PathFence    = "/fence"
	PathStart    = "/start"
	PathSync     = "/sync"
	PathStop     = "/stop"
	PathThrottle = "/throttle"
)

// maxConnsPerWorker bounds the connections to one worker. A worker has about 60 connections in all, most of which
// belong to its tasks.
const maxConnsPerWorker = 4

// Dialer connects to agents over HTTP. It is safe for concurrent use.
type Dialer struct{ transport *http.Transport }

var _ worker.Dialer = (*Dialer)(nil)

// NewDialer returns a dialer with a connection pool of its own.
func NewDialer() *Dialer {
	return &Dialer{transport: &http.Transport{
		MaxConnsPerHost: maxConnsPerWorker, MaxIdleConnsPerHost: maxConnsPerWorker, IdleConnTimeout: time.Minute,
	}}
}

// Dial implements worker.Dialer.
func (d *Dialer) Dial(address string) worker.Agent {
	return agent{http: jsonhttp.NewClient(address, d.transport)}
}

type agent struct{ http *jsonhttp.Client }

func (a agent) Fence(ctx context.Context, req worker.FenceRequest) (worker.Inventory, error) {
	var reply worker.Inventory
	err := a.http.Post(ctx, PathFence, req, &reply)
	return reply, err
}

func (a agent) Start(ctx context.Context, req worker.StartRequest) (worker.StartReply, error) {
	var reply worker.StartReply
	err := a.http.Post(ctx, PathStart, req, &reply)
	return reply, err
}

func (a agent) Sync(ctx context.Context, req worker.SyncRequest) (worker.SyncReply, error) {
	var reply worker.SyncReply
	err := a.http.Post(ctx, PathSync, req, &reply)
	return reply, err
}

func (a agent) Stop(ctx context.Context, req worker.StopRequest) error {
	return a.http.Post(ctx, PathStop, req, nil)
}

func (a agent) Throttle(ctx context.Context, req worker.ThrottleRequest) error {
	return a.http.Post(ctx, PathThrottle, req, nil)
}
