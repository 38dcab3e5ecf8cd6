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

// forwardedKey marks the context of a forwarded request, which is not forwarded again.
type forwardedKey struct{}

// forwardedHeaders are the request headers that travel with a forwarded request.
var forwardedHeaders = []string{HeaderTicket, HeaderIdempotencyKey, "Content-Type"}

// route serves the request where its partition is owned, within the limits, and writes the answer.
func (s *Server) route(ctx context.Context, c khttp.Context, req *request, op operation) error {
	var out any
	local := func(ctx context.Context) (err error) {
		out, err = op.serve(ctx, req)
		return err
	}
	if ctx.Value(forwardedKey{}) != nil {
		if err := s.backend.Serve(ctx, req.about(op), local); err != nil {
			return err
		}
		return writeJSON(c.Response(), http.StatusOK, out)
	}
	release, err := s.backend.Admit(ctx, limit.Key{Class: op.class, Client: client(c.Request())})
	if err != nil {
		return err
	}
	defer release()
	forwarded := false
	reply, err := s.backend.Dispatch(ctx, req.about(op), func() *peerpb.Forward {
		forwarded = true
		return forwardOf(c, req)
	}, local)
	if forwarded && s.opts.Observer != nil {
		s.opts.Observer.Forwarded(op.name, verdict.Of(err))
	}
	if err != nil {
		return err
	}
	if reply == nil {
		return writeJSON(c.Response(), http.StatusOK, out)
	}
	return writeReply(c, req, reply)
}

// about returns what routing and limits need to know of the request.
func (r *request) about(op operation) instance.Request {
	about := instance.Request{
		Partition: r.partition, Class: op.class,
		Repeatable: r.header.Get(HeaderTicket) != "" || r.header.Get(HeaderIdempotencyKey) != "",
	}
	if r.spec.Account != "" {
		about.Spec = &r.spec
	}
	if strings.HasPrefix(r.id, "i") {
		about.Intent = r.id
	}
	return about
}

// client returns the client whose limits apply to a request.
func client(r *http.Request) string {
	if name := r.Header.Get(HeaderClient); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// forwardOf returns the message that carries the request to the owner of its partition.
func forwardOf(c khttp.Context, req *request) *peerpb.Forward {
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

// writeReply copies the owner's answer, if it is whole and belongs to the request.
func writeReply(c khttp.Context, req *request, reply *peerpb.ForwardReply) error {
	if xxhash.Sum64(reply.GetBody()) != reply.GetDigest() {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the owner's answer was damaged on the way")
	}
	if id := reply.GetHeaders()[HeaderRequestID]; id != req.requestID {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the owner answered another request")
	}
	req.status = int(reply.GetStatus())
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

// responseBuffer keeps an answer in memory.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *responseBuffer) Header() http.Header { return b.header }

func (b *responseBuffer) WriteHeader(status int) { b.status = status }

func (b *responseBuffer) Write(data []byte) (int, error) { return b.body.Write(data) }
