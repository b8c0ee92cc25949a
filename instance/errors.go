package instance

import "fmt"

// SupersededError reports that another process with this instance's identifier
// and a higher incarnation has joined: this process must end.
type SupersededError struct {
	ID               string
	OwnIncarnation   uint64
	OtherIncarnation uint64
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("instance %s of incarnation %d is superseded by incarnation %d", e.ID, e.OwnIncarnation, e.OtherIncarnation)
}

// ConfigError reports a missing or unusable setting of a Membership.
type ConfigError struct{ Setting string }

// Error implements error.
func (e *ConfigError) Error() string { return "membership: setting " + e.Setting + " is missing" }
