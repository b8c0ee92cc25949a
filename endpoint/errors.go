package endpoint

import "fmt"

// UnknownEndpointError reports an endpoint that is not in the configuration.
type UnknownEndpointError struct{ Name string }

// Error implements error.
func (e *UnknownEndpointError) Error() string {
	return fmt.Sprintf("endpoint %s is not in the configuration", e.Name)
}
