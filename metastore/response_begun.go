package metastore

import "context"

// responseBegunKey is the key of the function that ReportResponseBegun calls.
type responseBegunKey struct{}

// WithResponseBegun returns a context whose calls report when their responses begin to
// arrive, so that a caller can tell a store that does not answer from a response that takes
// its time. begun may be called several times, from any goroutine, and must not block.
func WithResponseBegun(ctx context.Context, begun func()) context.Context {
	return context.WithValue(ctx, responseBegunKey{}, begun)
}

// ReportResponseBegun is called by a KV when a response to a call with ctx begins to arrive.
func ReportResponseBegun(ctx context.Context) {
	if begun, ok := ctx.Value(responseBegunKey{}).(func()); ok {
		begun()
	}
}
