package link

import "fmt"

// BudgetError reports that a transfer got no lease.
type BudgetError struct {
	Link  string
	Class Class
	Bytes int64
}

// Error implements error.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("link %s: no budget for %s of %d bytes", e.Link, e.Class, e.Bytes)
}
