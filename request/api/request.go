package api

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"net/url"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/strictjson"
	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// maxBodyBytes bounds a request body.
	maxBodyBytes = 256 << 10
	// defaultTimeout bounds a request whose caller names no timeout.
	defaultTimeout = 30 * time.Second
	// maxTimeout bounds the timeout that a caller may name.
	maxTimeout = 10 * time.Minute
	// maxHeaderText bounds request ids and idempotency keys.
	maxHeaderText = 200
	// noPartition stands for a request that belongs to no partition.
	noPartition = -1
)

// request is one decoded request.
type request struct {
	id        string
	requestID string
	partition int
	header    http.Header
	query     url.Values
	body      []byte
	spec      model.IntentSpec
	// status is the HTTP status of the owner's answer, for a request that was forwarded.
	status int
}

// decode reads the body strictly. An empty body counts as an empty object.
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
		err = err.With(map[string]any{"problems": all})
	}
	return err
}

// operation is one entry of the contract.
type operation struct {
	// name labels logs and metrics.
	name string
	// readOnly is set when the operation changes nothing.
	readOnly bool
	// class is the class that limits apply to where the intent does not say it.
	class model.Class
	// query lists the allowed query parameters.
	query []string
	// partition finds the partition whose owner serves the request; nil serves it on any instance.
	partition func(*request) (int, error)
	serve     func(context.Context, *request) (any, error)
}

// handle wraps a request function: it reads the request, finds the partition, forwards where needed, and answers.
func (s *Server) handle(op operation) khttp.HandlerFunc {
	return func(c khttp.Context) error {
		began := s.opts.Clock.Now()
		defer s.drain.begin(c)()
		req, err := newRequest(c)
		c.Response().Header().Set(HeaderRequestID, req.requestID)
		if err == nil {
			err = s.drain.refuse(c)
		}
		if err == nil {
			err = s.attempt(c, req, op)
		}
		if err != nil {
			writeError(c.Response(), req.requestID, err)
		}
		s.observe(c.Request().Context(), req, op, s.opts.Clock.Since(began), err)
		return nil
	}
}

// newRequest reads the id and the headers. The request that it returns is never nil.
func newRequest(c khttp.Context) (*request, error) {
	r := c.Request()
	req := &request{
		id: c.Vars().Get("id"), header: r.Header, query: r.URL.Query(), partition: noPartition,
		requestID: r.Header.Get(HeaderRequestID),
	}
	if req.requestID == "" {
		req.requestID = uuid.NewString()
	}
	if !visible(req.requestID, maxHeaderText) {
		req.requestID = uuid.NewString()
		return req, verdict.Invalid(HeaderRequestID, "expected 1 to %d visible ASCII characters", maxHeaderText)
	}
	if name := r.Header.Get(HeaderClient); name != "" && !visible(name, maxHeaderText) {
		return req, verdict.Invalid(HeaderClient, "expected 1 to %d visible ASCII characters", maxHeaderText)
	}
	return req, nil
}

// visible reports whether text consists of 1 to high visible ASCII characters.
func visible(text string, high int) bool {
	return text != "" && len(text) <= high && !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
}

// attempt serves a request under its deadline. A panic is answered, since the request may have taken effect before it.
func (s *Server) attempt(c khttp.Context, req *request, op operation) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			s.opts.Log.WithFields(logrus.Fields{"request_id": req.requestID, "stack": string(debug.Stack())}).Error("panic")
			err = verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "internal error")
		}
	}()
	ctx, cancel, err := withTimeout(c.Request().Context(), req.header)
	if err != nil {
		return err
	}
	defer cancel()
	err = s.serve(ctx, c, req, op)
	if op.readOnly && err != nil && verdict.Of(err) == verdict.MayHaveRun {
		return readFailed(err)
	}
	return err
}

// readFailed returns the error of a request that changes nothing, so that nothing can have run.
func readFailed(err error) error {
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

func (s *Server) serve(ctx context.Context, c khttp.Context, req *request, op operation) error {
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
	out, err := op.serve(ctx, req)
	if err != nil {
		return err
	}
	return writeJSON(c.Response(), http.StatusOK, out)
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
	if kind := r.header.Get("Content-Type"); kind != "" {
		if media, _, err := mime.ParseMediaType(kind); err != nil || media != "application/json" {
			return verdict.Invalid("Content-Type", "expected application/json, got %q", kind)
		}
	}
	if coding := r.header.Get("Content-Encoding"); coding != "" && coding != "identity" {
		return verdict.Invalid("Content-Encoding", "expected an uncompressed body, got %q", coding)
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

// writeJSON answers with a value; its length and digest let the caller recognise a damaged answer.
func writeJSON(w http.ResponseWriter, status int, out any) error {
	data, err := json.Marshal(out)
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

// writeError answers with a typed error. Retry-After is in whole seconds, rounded up.
func writeError(w http.ResponseWriter, requestID string, err error) {
	body := jsonhttp.ErrorBodyOf(err)
	body.RequestID = requestID
	if body.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((body.RetryAfterMS+999)/1000, 10))
	}
	if writeJSON(w, jsonhttp.Status(body.Code), body) != nil {
		body.Detail = nil
		_ = writeJSON(w, jsonhttp.Status(body.Code), body)
	}
}
