package jsonhttp

import "strconv"

// retryAfterSeconds returns milliseconds as whole seconds, rounded up, as the Retry-After header requires.
func retryAfterSeconds(ms int64) string { return strconv.FormatInt((ms+999)/1000, 10) }
