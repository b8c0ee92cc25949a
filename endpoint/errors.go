package endpoint

import "fmt"

// UnknownEndpointError reports that the configuration in force has no endpoint
// called Name in this instance's data centre.
type UnknownEndpointError struct{ Name string }

// Error implements the error interface.
func (e *UnknownEndpointError) Error() string {
	return fmt.Sprintf("endpoint %s is not in the configuration", e.Name)
}
