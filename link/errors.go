package link

import "fmt"

// BudgetError reports that no lease was granted for a transfer, or none that starts
// in time.
type BudgetError struct {
	Link  string
	Class Class
	Bytes int64
}

// Error implements error.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("link %s: no bandwidth budget for %s of %d bytes", e.Link, e.Class, e.Bytes)
}
