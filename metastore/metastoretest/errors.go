package metastoretest

import "fmt"

// FaultError is the cause inside the errors of an injected fault.
type FaultError struct {
	Fault Fault
}

// Error implements error.
func (e *FaultError) Error() string { return fmt.Sprintf("injected fault: %s", e.Fault) }
