// Package jsonhttp sends JSON requests over HTTP and turns failures into errors with a verdict. A Client lives as long as
// the connections that it pools.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/lentiltide/lentiltide/request/verdict"
)

// HeaderDigest is the xxhash64 of a body in hexadecimal. A reply that carries it is checked.
const HeaderDigest = "Lentiltide-Digest"

// maxReplyBytes bounds a reply body.
const maxReplyBytes = 64 << 20

// ErrorBody is the JSON body of an error reply.
type ErrorBody struct {
	Verdict      verdict.Verdict `json:"verdict"`
	Code         verdict.Code    `json:"code"`
	Field        string          `json:"field,omitempty"`
	Message      string          `json:"message"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	Detail       any             `json:"detail,omitempty"`
	RequestID    string          `json:"request_id,omitempty"`
}

// ErrorBodyOf returns the body for an error.
func ErrorBodyOf(err error) ErrorBody {
	e := verdict.From(err)
	return ErrorBody{
		Verdict: e.Verdict, Code: e.Code, Field: e.Field, Message: e.Message,
		RetryAfterMS: e.RetryAfter.Milliseconds(), Detail: e.Detail,
	}
}

// Err returns the error that the body describes.
func (b ErrorBody) Err() *verdict.Error {
	e := verdict.New(b.Verdict, b.Code, "%s", b.Message)
	e.Field = b.Field
	e.Detail = b.Detail
	return e.After(time.Duration(b.RetryAfterMS) * time.Millisecond)
}

// Client posts JSON to one base URL.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for a base URL. A nil transport uses a pooled default.
func NewClient(base string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}
	}
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// Post sends in as JSON to a path and decodes the reply into out. Errors are *verdict.Error: NotRun when no connection
// could be made or the server says so, MayHaveRun when the answer was lost.
func (c *Client) Post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "encode request")
	}
	_, err = c.Do(ctx, http.MethodPost, path, nil, body, out)
	return err
}

// Do sends a request with headers and decodes the JSON reply into out, if out is not nil. It returns the reply headers.
func (c *Client) Do(ctx context.Context, method, path string, header http.Header, body []byte, out any) (http.Header, error) {
	// The HTTP client repeats a request with an Idempotency-Key by itself, so that a failed connection attempt may follow
	// one that was sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	for key, values := range header {
		req.Header[key] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, transportError(err, connected.Load())
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return resp.Header, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable, "read reply")
	}
	if digest := resp.Header.Get(HeaderDigest); digest != "" && digest != Digest(data) {
		return resp.Header, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the answer was damaged on the way")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return resp.Header, replyError(resp.StatusCode, data)
	}
	if out == nil {
		return resp.Header, nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return resp.Header, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeInternal, "decode reply")
	}
	return resp.Header, nil
}

// Digest returns the value of HeaderDigest for a body.
func Digest(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// transportError says NotRun only for a failed connection attempt without any connection before, since then no byte of the
// request was sent.
func transportError(err error, connected bool) error {
	var op *net.OpError
	if !connected && errors.As(err, &op) && op.Op == "dial" {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "connect")
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable, "request failed")
}

func replyError(status int, data []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Code == "" {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "server answered with HTTP status %d", status)
	}
	return body.Err()
}

// Status returns the HTTP status for an error code.
func Status(code verdict.Code) int {
	switch code {
	case verdict.CodeInvalid:
		return http.StatusBadRequest
	case verdict.CodeNotFound:
		return http.StatusNotFound
	case verdict.CodeConflict, verdict.CodeStalePlan, verdict.CodeFenced:
		return http.StatusConflict
	case verdict.CodeExpired:
		return http.StatusGone
	case verdict.CodeOverloaded:
		return http.StatusTooManyRequests
	case verdict.CodeUnavailable, verdict.CodeWrongOwner:
		return http.StatusServiceUnavailable
	case verdict.CodeFailed:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusInternalServerError
	}
}

// WriteError writes an error reply. It adds Retry-After in whole seconds, rounded up, when the error has a retry time.
func WriteError(w http.ResponseWriter, requestID string, err error) {
	body := ErrorBodyOf(err)
	body.RequestID = requestID
	data, encodeErr := json.Marshal(body)
	if encodeErr != nil {
		body.Detail = nil
		data, _ = json.Marshal(body)
	}
	w.Header().Set("Content-Type", "application/json")
	if body.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(body.RetryAfterMS))
	}
	w.WriteHeader(Status(body.Code))
	_, _ = w.Write(data)
}
