package instance

import "fmt"

// SupersededError reports that another process with this instance's identifier
// and a higher incarnation has joined, so that this process must end.
type SupersededError struct {
	ID               string
	OwnIncarnation   uint64 // incarnation of this process
	OtherIncarnation uint64 // incarnation of the other process
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("instance %s of incarnation %d is superseded by incarnation %d", e.ID, e.OwnIncarnation, e.OtherIncarnation)
}

// ConfigError reports that a required setting of a Membership is missing. Setting
// is the name of the field of Config.Self.
type ConfigError struct{ Setting string }

// Error implements error.
func (e *ConfigError) Error() string { return "membership: setting " + e.Setting + " is missing" }
