package metastoretest

import "fmt"

// FaultError is the error wrapped by the errors that an injected fault causes.
type FaultError struct {
	Fault Fault
}

// Error implements the error interface.
func (e *FaultError) Error() string { return fmt.Sprintf("injected fault: %s", e.Fault) }
