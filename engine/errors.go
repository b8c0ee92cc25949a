package engine

import "fmt"

// FencedError reports an order with a fencing number older than one obeyed.
type FencedError struct{ Fence int64 }

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("order with fencing number %d is too old", e.Fence)
}

// StatusError reports an unexpected HTTP status of an engine.
type StatusError struct {
	Op     string
	Status int
	Detail string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine %s: status %d: %s", e.Op, e.Status, e.Detail)
}
