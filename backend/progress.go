package backend

import "context"

// progressKey is the context key of the functions that observe the progress of a call.
type progressKey struct{}

// WithProgress returns a context whose calls report to observe, in addition to the observers of ctx, that a part of their
// response has arrived. A call that makes progress is being answered, however long its response takes over a slow link.
// observe is called from the goroutine of the call, often, and must not block.
func WithProgress(ctx context.Context, observe func()) context.Context {
	outer, _ := ctx.Value(progressKey{}).(func())
	if outer == nil {
		return context.WithValue(ctx, progressKey{}, observe)
	}
	return context.WithValue(ctx, progressKey{}, func() { outer(); observe() })
}

// ReportProgress reports to the observers of ctx that a part of the response has arrived.
func ReportProgress(ctx context.Context) {
	if observe, ok := ctx.Value(progressKey{}).(func()); ok {
		observe()
	}
}
