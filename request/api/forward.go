package api

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// forwardedKey marks the context of a forwarded request, which is not forwarded again.
type forwardedKey struct{}

// forwardedHeaders are the request headers that travel with a forwarded request.
var forwardedHeaders = []string{HeaderTicket, HeaderIdempotencyKey, "Content-Type"}

// forward sends the request to the owner of its partition and copies the answer. It returns false when this instance is
// the owner, or when the request was forwarded before.
func (s *Server) forward(ctx context.Context, c khttp.Context, req *request, op operation) (bool, error) {
	if ctx.Value(forwardedKey{}) != nil {
		return false, nil
	}
	address, local, err := s.backend.Route(req.partition)
	if err != nil || local {
		return false, err
	}
	f := &peerpb.Forward{
		Method: c.Request().Method, Path: c.Request().URL.RequestURI(), Headers: map[string]string{}, Body: req.body,
	}
	for _, key := range forwardedHeaders {
		if value := req.header.Get(key); value != "" {
			f.Headers[key] = value
		}
	}
	f.Headers[HeaderRequestID] = req.requestID
	reply, err := s.backend.Forward(ctx, address, f)
	if s.opts.Observer != nil {
		s.opts.Observer.Forwarded(op.name, verdict.Of(err))
	}
	if err != nil {
		return true, err
	}
	if xxhash.Sum64(reply.GetBody()) != reply.GetDigest() {
		return true, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the owner's answer was damaged on the way")
	}
	if id := reply.GetHeaders()[HeaderRequestID]; id != req.requestID {
		return true, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the owner answered another request")
	}
	req.status = int(reply.GetStatus())
	for key, value := range reply.GetHeaders() {
		c.Response().Header().Set(key, value)
	}
	c.Response().WriteHeader(int(reply.GetStatus()))
	_, _ = c.Response().Write(reply.GetBody())
	return true, nil
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

// responseBuffer keeps an answer in memory.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *responseBuffer) Header() http.Header { return b.header }

func (b *responseBuffer) WriteHeader(status int) { b.status = status }

func (b *responseBuffer) Write(data []byte) (int, error) { return b.body.Write(data) }
