// Package jsonhttp sends JSON requests over HTTP and converts failures to errors with a verdict. The connections of a
// Client are pooled by its transport.
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

// HeaderDigest is the header with the xxhash64 of a body in hexadecimal. The client verifies replies that carry it.
const HeaderDigest = "Lentiltide-Digest"

// maxReplyBytes limits how much of a reply body is read.
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

// NewErrorBody returns the error body that describes err.
func NewErrorBody(err error) ErrorBody {
	e := verdict.From(err)
	return ErrorBody{
		Verdict: e.Verdict, Code: e.Code, Field: e.Field, Message: e.Message,
		RetryAfterMS: e.RetryAfter.Milliseconds(), Detail: e.Detail,
	}
}

// Err converts the body back to an error.
func (b ErrorBody) Err() *verdict.Error {
	e := verdict.New(b.Verdict, b.Code, "%s", b.Message)
	e.Field = b.Field
	e.Detail = b.Detail
	return e.WithRetryAfter(time.Duration(b.RetryAfterMS) * time.Millisecond)
}

// Client sends JSON requests to one base URL.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for a base URL. If transport is nil, the client has a connection pool of its own.
func NewClient(base string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}
	}
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// Post sends in as JSON to path and decodes the reply into out. Errors are of type *verdict.Error, with NotRun when no
// connection was established or the server reports it, and MayHaveRun when the reply was lost.
func (c *Client) Post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "encode request")
	}
	_, err = c.Do(ctx, http.MethodPost, path, nil, body, out)
	return err
}

// Do sends a request with the given headers and decodes the JSON reply into out unless out is nil. It returns the reply
// headers. Errors are as for Post.
func (c *Client) Do(ctx context.Context, method, path string, header http.Header, body []byte, out any) (http.Header, error) {
	// net/http retries a request with an Idempotency-Key header by itself, so a failed dial may come after an attempt
	// in which the request was sent.
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

// transportError returns a NotRun error only if dialling failed and no earlier attempt got a connection; only then is
// it certain that no byte of the request was sent.
func transportError(err error, connected bool) error {
	var op *net.OpError
	if !connected && errors.As(err, &op) && op.Op == "dial" {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "connect")
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable, "request failed")
}

// replyError returns the error of a reply with a failure status. The verdict is MayHaveRun if the body is not a
// valid ErrorBody.
func replyError(status int, data []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Code == "" {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "server answered with HTTP status %d", status)
	}
	return body.Err()
}

// HTTPStatus returns the HTTP status that an error code maps to.
func HTTPStatus(code verdict.Code) int {
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

// WriteError writes an error reply, with a Retry-After header if the error has a retry time. A detail that cannot be
// encoded is left out.
func WriteError(w http.ResponseWriter, requestID string, err error) {
	body := NewErrorBody(err)
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
	w.WriteHeader(HTTPStatus(body.Code))
	_, _ = w.Write(data)
}
