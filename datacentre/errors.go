package datacentre

import "fmt"

// GapError reports an update that can't be applied after the head.
type GapError struct{ Head, First uint64 }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("update starts at note %d, but the head is %d", e.First, e.Head)
}

// StalledError reports a peer that offers a higher head and no notes.
type StalledError struct {
	Addr string
	Head uint64
}

// Error implements error.
func (e *StalledError) Error() string {
	return fmt.Sprintf("peer %s gave nothing after note %d", e.Addr, e.Head)
}
