// Package server provides HTTP handlers for the stand-in platform and the stand-in workers. A handler keeps no state of its
// own.
package server

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	platformclient "github.com/lentiltide/lentiltide/connection/store"
	workerclient "github.com/lentiltide/lentiltide/connection/worker"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/worker"
)

// handle returns an HTTP handler that decodes the JSON body of a request, passes it to call, and encodes the result.
func handle[In, Out any](call func(context.Context, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			jsonhttp.WriteError(w, "", verdict.Invalid("body", "%v", err))
			return
		}
		out, err := call(r.Context(), in)
		if err != nil {
			jsonhttp.WriteError(w, "", err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	}
}

// NewPlatform returns a handler for the platform's three services: the table, the object store and the instance list.
func NewPlatform(table store.Table, objects store.Objects, list store.InstanceList) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platformclient.PathTableCommit, handle(func(ctx context.Context, txn store.Txn) (platformclient.CommitReply, error) {
		versions, err := table.Commit(ctx, txn)
		return platformclient.CommitReply{Versions: versions}, err
	}))
	mux.Handle(platformclient.PathTableGet, handle(func(ctx context.Context, in platformclient.KeysRequest) (platformclient.RowsReply, error) {
		rows, err := table.Get(ctx, in.Keys...)
		return platformclient.RowsReply{Rows: rows}, err
	}))
	mux.Handle(platformclient.PathTableScan, handle(func(ctx context.Context, in platformclient.PrefixRequest) (platformclient.RowsReply, error) {
		rows, err := table.Scan(ctx, in.Prefix)
		return platformclient.RowsReply{Rows: rows}, err
	}))
	mux.Handle(platformclient.PathObjectPut, handle(func(ctx context.Context, in platformclient.Object) (struct{}, error) {
		return struct{}{}, objects.Put(ctx, in.Name, in.Data)
	}))
	mux.Handle(platformclient.PathObjectGet, handle(func(ctx context.Context, in platformclient.Object) (platformclient.Object, error) {
		data, err := objects.Get(ctx, in.Name)
		return platformclient.Object{Name: in.Name, Data: data}, err
	}))
	mux.Handle(platformclient.PathObjectList, handle(func(ctx context.Context, in platformclient.PrefixRequest) (platformclient.NamesReply, error) {
		names, err := objects.List(ctx, in.Prefix)
		return platformclient.NamesReply{Names: names}, err
	}))
	mux.Handle(platformclient.PathInstanceList, handle(func(ctx context.Context, _ struct{}) (platformclient.MembersReply, error) {
		members, err := list.List(ctx)
		return platformclient.MembersReply{Members: members}, err
	}))
	return mux
}

// NewWorker returns a handler for one worker agent.
func NewWorker(agent worker.Agent) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(workerclient.PathFence, handle(agent.Fence))
	mux.Handle(workerclient.PathStart, handle(agent.Start))
	mux.Handle(workerclient.PathSync, handle(agent.Sync))
	mux.Handle(workerclient.PathStop, handle(func(ctx context.Context, in worker.StopRequest) (struct{}, error) {
		return struct{}{}, agent.Stop(ctx, in)
	}))
	mux.Handle(workerclient.PathThrottle, handle(func(ctx context.Context, in worker.ThrottleRequest) (struct{}, error) {
		return struct{}{}, agent.Throttle(ctx, in)
	}))
	return mux
}
