package entry

import "fmt"

// PartialError reports that fewer blocks were brought back than planned.
type PartialError struct{ Want, Got int }

// Error implements error.
func (e *PartialError) Error() string {
	return fmt.Sprintf("%d of %d blocks were brought back", e.Got, e.Want)
}

// PanicError reports a component that panicked.
type PanicError struct{ Component string }

// Error implements error.
func (e *PanicError) Error() string { return "component " + e.Component + " panicked" }
