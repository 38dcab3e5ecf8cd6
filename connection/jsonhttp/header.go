package jsonhttp

import "strconv"

// retryAfterSeconds converts milliseconds to whole seconds, rounded up, for the Retry-After header, which has no
// fractions.
func retryAfterSeconds(ms int64) string { return strconv.FormatInt((ms+999)/1000, 10) }
