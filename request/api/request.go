package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/recovery"
	"github.com/lentiltide/lentiltide/request/strictjson"
	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// maxBodyBytes bounds the size of a request body.
	maxBodyBytes = 256 << 10
	// defaultTimeout bounds a request without HeaderTimeoutMS.
	defaultTimeout = 30 * time.Second
	// maxTimeout is the highest value accepted in HeaderTimeoutMS.
	maxTimeout = 10 * time.Minute
	// maxHeaderTextBytes bounds request ids, client names and idempotency keys.
	maxHeaderTextBytes = 200
	// noPartition is the partition of a request that does not belong to one.
	noPartition = -1
)

// request is a decoded request. id is the id in its path.
type request struct {
	id        string
	requestID string
	partition int
	header    http.Header
	query     url.Values
	body      []byte
	spec      model.IntentSpec
	// ownerStatus is the HTTP status of the owner's response to a forwarded request, otherwise 0.
	ownerStatus int
}

// decode decodes the body strictly into out. An empty body is treated as an empty object. The error describes the first
// problem; if there are several, its detail lists them all.
func (r *request) decode(out any) error {
	body := r.body
	if len(body) == 0 {
		body = []byte("{}")
	}
	problems := strictjson.Decode(body, out)
	if len(problems) == 0 {
		return nil
	}
	path := problems[0].Path
	if path == "" {
		path = "body"
	}
	err := verdict.Invalid(path, "%s", problems[0].Message)
	if len(problems) > 1 {
		all := make([]string, len(problems))
		for i, p := range problems {
			all[i] = p.String()
		}
		err = err.WithDetail(map[string]any{"problems": all})
	}
	return err
}

// operation is an operation of the HTTP contract.
type operation struct {
	// name identifies the operation in logs and metrics.
	name string
	// readOnly is set if the operation has no effects.
	readOnly bool
	// class is the class to which limits apply if the intent does not define one.
	class model.Class
	// query lists the allowed query parameters.
	query []string
	// partition returns the partition whose owner serves the request. If it is nil, any instance serves the request.
	partition func(*request) (int, error)
	serve     func(context.Context, *request) (any, error)
}

// handle returns the HTTP handler of an operation: it reads the request, determines the partition, forwards the request
// if another instance owns it, and writes the response.
func (s *Server) handle(op operation) khttp.HandlerFunc {
	return func(c khttp.Context) error {
		start := s.opts.Clock.Now()
		defer s.drain.beginRequest(c)()
		req, err := newRequest(c)
		c.Response().Header().Set(HeaderRequestID, req.requestID)
		if err == nil {
			err = s.drain.checkAccepting(c)
		}
		if err == nil {
			err = s.serveWithDeadline(c, req, op)
		}
		if err != nil {
			writeError(c.Response(), req.requestID, err)
		}
		s.observe(c.Request().Context(), req, op, s.opts.Clock.Since(start), err)
		return nil
	}
}

// newRequest reads the id and the headers of a request. The returned request is never nil, even if there is an error.
func newRequest(c khttp.Context) (*request, error) {
	r := c.Request()
	req := &request{
		id: c.Vars().Get("id"), header: r.Header, query: r.URL.Query(), partition: noPartition,
		requestID: r.Header.Get(HeaderRequestID),
	}
	if req.requestID == "" {
		req.requestID = uuid.NewString()
	}
	if !isVisibleASCII(req.requestID, maxHeaderTextBytes) {
		req.requestID = uuid.NewString()
		return req, verdict.Invalid(HeaderRequestID, "expected 1 to %d visible ASCII characters", maxHeaderTextBytes)
	}
	if name := r.Header.Get(HeaderClient); name != "" && !isVisibleASCII(name, maxHeaderTextBytes) {
		return req, verdict.Invalid(HeaderClient, "expected 1 to %d visible ASCII characters", maxHeaderTextBytes)
	}
	return req, nil
}

// isVisibleASCII reports whether text consists of 1 to maxLen visible ASCII characters.
func isVisibleASCII(text string, maxLen int) bool {
	return text != "" && len(text) <= maxLen && !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
}

// serveWithDeadline serves a request within its deadline. It turns a panic into a MayHaveRun error, since the request
// may have taken effect before the panic.
func (s *Server) serveWithDeadline(c khttp.Context, req *request, op operation) (err error) {
	report := func(value any, stack []byte) {
		s.opts.Log.WithFields(logrus.Fields{"request_id": req.requestID, "panic": fmt.Sprint(value), "stack": string(stack)}).Error("panic")
	}
	if recovery.Catch(report, func() { err = s.serveInTime(c, req, op) }) {
		return recovery.Error()
	}
	return err
}

// serveInTime serves a request within its deadline.
func (s *Server) serveInTime(c khttp.Context, req *request, op operation) error {
	ctx, cancel, err := withTimeout(c.Request().Context(), req.header)
	if err != nil {
		return err
	}
	defer cancel()
	err = s.serveRequest(ctx, c, req, op)
	if op.readOnly && err != nil && verdict.Of(err) == verdict.MayHaveRun {
		return asNotRun(err)
	}
	return err
}

// asNotRun returns err with the verdict NotRun, for a request that has no effects.
func asNotRun(err error) error {
	e := *verdict.From(err)
	e.Verdict = verdict.NotRun
	return &e
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

func (s *Server) serveRequest(ctx context.Context, c khttp.Context, req *request, op operation) error {
	if err := op.checkQuery(req.query); err != nil {
		return err
	}
	if err := req.readBody(c); err != nil {
		return err
	}
	if op.partition != nil {
		var err error
		if req.partition, err = op.partition(req); err != nil {
			return err
		}
		return s.route(ctx, c, req, op)
	}
	result, err := op.serve(ctx, req)
	if err != nil {
		return err
	}
	return writeJSON(c.Response(), http.StatusOK, result)
}

func (op operation) checkQuery(query url.Values) error {
	for name, values := range query {
		if !slices.Contains(op.query, name) {
			return verdict.Invalid(name, "unknown query parameter")
		}
		if len(values) > 1 {
			return verdict.Invalid(name, "expected the query parameter once, got it %d times", len(values))
		}
	}
	return nil
}

func (r *request) readBody(c khttp.Context) error {
	if contentType := r.header.Get("Content-Type"); contentType != "" {
		if mediaType, _, err := mime.ParseMediaType(contentType); err != nil || mediaType != "application/json" {
			return verdict.Invalid("Content-Type", "expected application/json, got %q", contentType)
		}
	}
	if encoding := r.header.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		return verdict.Invalid("Content-Encoding", "expected an uncompressed body, got %q", encoding)
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return verdict.Invalid("body", "expected at most %d bytes", maxBodyBytes)
	case err != nil:
		return verdict.Invalid("body", "the body ended early: %v", err)
	}
	r.body = body
	return nil
}

// writeJSON writes a value as the response. Content-Length and HeaderDigest let the caller detect a corrupted response.
func writeJSON(w http.ResponseWriter, status int, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeInternal, "encode answer")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Header().Set(HeaderDigest, jsonhttp.Digest(data))
	w.WriteHeader(status)
	_, _ = w.Write(data)
	return nil
}

// writeError writes a typed error as the response. Retry-After is in whole seconds, rounded up.
func writeError(w http.ResponseWriter, requestID string, err error) {
	body := jsonhttp.NewErrorBody(err)
	body.RequestID = requestID
	if body.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((body.RetryAfterMS+999)/1000, 10))
	}
	if writeJSON(w, jsonhttp.HTTPStatus(body.Code), body) != nil {
		body.Detail = nil
		_ = writeJSON(w, jsonhttp.HTTPStatus(body.Code), body)
	}
}
