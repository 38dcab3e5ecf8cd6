package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/google/uuid"

	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// maxBodyBytes bounds a request body.
	maxBodyBytes = 256 << 10
	// defaultTimeout bounds a request whose caller names no timeout.
	defaultTimeout = 30 * time.Second
	// maxTimeout bounds the timeout that a caller may name.
	maxTimeout = 10 * time.Minute
)

// forwardedKey marks the context of a forwarded request, which is not forwarded again.
type forwardedKey struct{}

// request is one decoded request.
type request struct {
	id        string
	requestID string
	partition int
	header    http.Header
	body      []byte
	spec      model.IntentSpec
}

// decode reads the body strictly: unknown fields, trailing data and invalid UTF-8 are errors.
func (r *request) decode(out any) error {
	if !utf8.Valid(r.body) {
		return verdict.Invalid("body", "expected valid UTF-8")
	}
	dec := json.NewDecoder(bytes.NewReader(r.body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return decodeError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return verdict.Invalid("body", "expected one JSON value")
	}
	return nil
}

func decodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return verdict.Invalid(typeErr.Field, "expected %s, got %s", typeErr.Type, typeErr.Value)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return verdict.Invalid(strings.Trim(name, `"`), "unknown field")
	}
	return verdict.Invalid("body", "%v", err)
}

type (
	partitionFunc func(*request) (int, error)
	serveFunc     func(context.Context, *request) (any, error)
)

// handle wraps a request function: it reads the request, finds the partition, forwards where needed, and answers.
func (s *Server) handle(partition partitionFunc, serve serveFunc) khttp.HandlerFunc {
	return func(c khttp.Context) error {
		req := &request{id: c.Vars().Get("id"), header: c.Request().Header, requestID: c.Request().Header.Get(HeaderRequestID)}
		if req.requestID == "" {
			req.requestID = uuid.NewString()
		}
		c.Response().Header().Set(HeaderRequestID, req.requestID)
		ctx, cancel, err := withTimeout(c.Request().Context(), req.header)
		if err == nil {
			defer cancel()
			err = s.serve(ctx, c, req, partition, serve)
		}
		if err != nil {
			jsonhttp.WriteError(c.Response(), req.requestID, err)
		}
		return nil
	}
}

func withTimeout(ctx context.Context, header http.Header) (context.Context, context.CancelFunc, error) {
	timeout := defaultTimeout
	if text := header.Get(HeaderTimeoutMS); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
			return nil, nil, verdict.Invalid(HeaderTimeoutMS, "expected 1 to %d milliseconds, got %q", maxTimeout.Milliseconds(), text)
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	return ctx, cancel, nil
}

func (s *Server) serve(ctx context.Context, c khttp.Context, req *request, partition partitionFunc, serve serveFunc) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes+1))
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "read body")
	}
	if len(body) > maxBodyBytes {
		return verdict.Invalid("body", "expected at most %d bytes", maxBodyBytes)
	}
	req.body = body
	if partition != nil {
		if req.partition, err = partition(req); err != nil {
			return err
		}
		forwarded, err := s.forward(ctx, c, req)
		if forwarded || err != nil {
			return err
		}
	}
	out, err := serve(ctx, req)
	if err != nil {
		return err
	}
	return writeJSON(c.Response(), out)
}

func writeJSON(w http.ResponseWriter, out any) error {
	data, err := json.Marshal(out)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderDigest, fmt.Sprintf("%016x", xxhash.Sum64(data)))
	_, _ = w.Write(data)
	return nil
}

// forwardedHeaders are the request headers that travel with a forwarded request.
var forwardedHeaders = []string{HeaderRequestID, HeaderTicket, HeaderIdempotencyKey}

// forward sends the request to the owner of its partition and copies the answer. It returns false when this instance is
// the owner, or when the request was forwarded before.
func (s *Server) forward(ctx context.Context, c khttp.Context, req *request) (bool, error) {
	if ctx.Value(forwardedKey{}) != nil {
		return false, nil
	}
	address, local, err := s.backend.Route(req.partition)
	if err != nil || local {
		return false, err
	}
	f := &peerpb.Forward{
		Method: c.Request().Method, Path: c.Request().URL.Path, Headers: map[string]string{}, Body: req.body,
	}
	for _, key := range forwardedHeaders {
		if value := req.header.Get(key); value != "" {
			f.Headers[key] = value
		}
	}
	f.Headers[HeaderRequestID] = req.requestID
	reply, err := s.backend.Forward(ctx, address, f)
	if err != nil {
		return true, err
	}
	if xxhash.Sum64(reply.GetBody()) != reply.GetDigest() {
		return true, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the owner's answer was damaged on the way")
	}
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
		jsonhttp.WriteError(w, f.GetHeaders()[HeaderRequestID], verdict.Invalid("path", "%v", err))
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

// FormatTicket returns a ticket in the form of HeaderTicket.
func FormatTicket(t model.StartToken) string {
	return fmt.Sprintf("%d-%d-%d", t.Partition, t.Epoch, t.Sequence)
}

// ParseTicket reads the form of HeaderTicket. An empty text is the zero ticket.
func ParseTicket(text string) (model.StartToken, error) {
	if text == "" {
		return model.StartToken{}, nil
	}
	parts := strings.Split(text, "-")
	if len(parts) == 3 {
		partition, err1 := strconv.ParseUint(parts[0], 10, 16)
		epoch, err2 := strconv.ParseUint(parts[1], 10, 64)
		sequence, err3 := strconv.ParseUint(parts[2], 10, 64)
		if err1 == nil && err2 == nil && err3 == nil && epoch > 0 && sequence > 0 {
			return model.StartToken{Partition: int(partition), Epoch: epoch, Sequence: sequence}, nil
		}
	}
	return model.StartToken{}, verdict.Invalid(HeaderTicket, "expected partition-epoch-sequence, got %q", text)
}
