package api

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/process/instance"
	"github.com/lentiltide/lentiltide/request/limit"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// forwardedKey is the context key that marks a forwarded request, which is not forwarded again.
type forwardedKey struct{}

// forwardedHeaders are the request headers that are copied to a forwarded request.
var forwardedHeaders = []string{HeaderTicket, HeaderIdempotencyKey, "Content-Type"}

// route applies the limits, has the owner of the partition serve the request, and writes the response.
func (s *Server) route(ctx context.Context, c khttp.Context, req *request, op operation) error {
	var result any
	local := func(ctx context.Context) (err error) {
		result, err = op.serve(ctx, req)
		return err
	}
	if ctx.Value(forwardedKey{}) != nil {
		if err := s.backend.Serve(ctx, req.routingRequest(op), local); err != nil {
			return err
		}
		return writeJSON(c.Response(), http.StatusOK, result)
	}
	release, err := s.backend.Admit(ctx, limit.Key{Class: op.class, Client: clientOf(c.Request())})
	if err != nil {
		return err
	}
	defer release()
	forwarded := false
	reply, err := s.backend.Dispatch(ctx, req.routingRequest(op), func() *peerpb.Forward {
		forwarded = true
		return newForward(c, req)
	}, local)
	if forwarded && s.opts.Observer != nil {
		s.opts.Observer.ObserveForward(op.name, verdict.Of(err))
	}
	if err != nil {
		return err
	}
	if reply == nil {
		return writeJSON(c.Response(), http.StatusOK, result)
	}
	return writeReply(c, req, reply)
}

// routingRequest returns the properties of the request that routing and limits use.
func (r *request) routingRequest(op operation) instance.Request {
	routing := instance.Request{
		Partition: r.partition, Class: op.class,
		Repeatable: r.header.Get(HeaderTicket) != "" || r.header.Get(HeaderIdempotencyKey) != "",
	}
	if r.spec.Account != "" {
		routing.Spec = &r.spec
	}
	if strings.HasPrefix(r.id, "i") {
		routing.Intent = r.id
	}
	return routing
}

// clientOf returns the client whose limits apply to a request: HeaderClient, or the caller's IP address without it.
func clientOf(r *http.Request) string {
	if name := r.Header.Get(HeaderClient); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// newForward returns the message that forwards a request to the owner of its partition.
func newForward(c khttp.Context, req *request) *peerpb.Forward {
	f := &peerpb.Forward{
		Method: c.Request().Method, Path: c.Request().URL.RequestURI(), Headers: map[string]string{}, Body: req.body,
	}
	for _, key := range forwardedHeaders {
		if value := req.header.Get(key); value != "" {
			f.Headers[key] = value
		}
	}
	f.Headers[HeaderRequestID] = req.requestID
	return f
}

// writeReply writes the owner's reply as the response if its digest and its request id are correct.
func writeReply(c khttp.Context, req *request, reply *peerpb.ForwardReply) error {
	if xxhash.Sum64(reply.GetBody()) != reply.GetDigest() {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the owner's answer was damaged on the way")
	}
	if id := reply.GetHeaders()[HeaderRequestID]; id != req.requestID {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the owner answered another request")
	}
	req.ownerStatus = int(reply.GetStatus())
	for key, value := range reply.GetHeaders() {
		c.Response().Header().Set(key, value)
	}
	c.Response().WriteHeader(int(reply.GetStatus()))
	_, _ = c.Response().Write(reply.GetBody())
	return nil
}

// HandleForward serves a request that another instance forwarded.
func (s *Server) HandleForward(ctx context.Context, f *peerpb.Forward) *peerpb.ForwardReply {
	ctx = context.WithValue(ctx, forwardedKey{}, true)
	w := &responseBuffer{header: http.Header{}, status: http.StatusOK}
	req, err := http.NewRequestWithContext(ctx, f.GetMethod(), f.GetPath(), bytes.NewReader(f.GetBody()))
	if err != nil {
		writeError(w, f.GetHeaders()[HeaderRequestID], verdict.Invalid("path", "%v", err))
	} else {
		for key, value := range f.GetHeaders() {
			req.Header.Set(key, value)
		}
		if deadline, ok := ctx.Deadline(); ok {
			req.Header.Set(HeaderTimeoutMS, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
		}
		s.http.ServeHTTP(w, req)
	}
	reply := &peerpb.ForwardReply{
		Status: int32(w.status), Headers: map[string]string{}, Body: w.body.Bytes(), Digest: xxhash.Sum64(w.body.Bytes()),
	}
	for key := range w.header {
		reply.Headers[key] = w.header.Get(key)
	}
	return reply
}

// responseBuffer is an http.ResponseWriter that keeps the response in memory.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *responseBuffer) Header() http.Header { return b.header }

func (b *responseBuffer) WriteHeader(status int) { b.status = status }

func (b *responseBuffer) Write(data []byte) (int, error) { return b.body.Write(data) }
