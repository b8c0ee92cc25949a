package datacentre

import "fmt"

// GapError reports an update whose first note does not directly follow the head.
type GapError struct{ Head, First uint64 }

// Error implements the error interface.
func (e *GapError) Error() string {
	return fmt.Sprintf("update starts at note %d, but the head is %d", e.First, e.Head)
}

// StalledError reports a peer that announced a head above Head but sent nothing
// that could be applied after it, also because it replaced its snapshot between two
// parts.
type StalledError struct {
	Addr string
	Head uint64
}

// Error implements the error interface.
func (e *StalledError) Error() string {
	return fmt.Sprintf("peer %s sent nothing that can be applied after note %d", e.Addr, e.Head)
}
