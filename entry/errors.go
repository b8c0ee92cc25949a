package entry

import "fmt"

// PartialError reports that fewer blocks than planned were brought back: the engine's
// cache holds the first Got blocks of the prompt instead of the first Want.
type PartialError struct{ Want, Got int }

// Error implements error.
func (e *PartialError) Error() string {
	return fmt.Sprintf("%d of %d blocks were brought back", e.Got, e.Want)
}

// PanicError reports that a component panicked.
type PanicError struct{ Component string }

// Error implements error.
func (e *PanicError) Error() string { return "component " + e.Component + " panicked" }
