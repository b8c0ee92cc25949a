package relay

import "redwingknot/upstream"

// MoveCall asks an endpoint to copy the memory of a request that it runs to another one.
type MoveCall struct {
	EndpointID    string // identifier of the endpoint that runs the request
	AttemptID     string // of the request
	TargetAddress string // IP:port of the endpoint that gets the copy
	Stop          bool   // the run stops before the copy, and its response ends without its end
}

// MoveStatus is what an endpoint answered to a MoveCall.
type MoveStatus uint8

// The answers to a MoveCall.
const (
	MoveUnknown    MoveStatus = iota // no answer, or one that can't be decoded: the call may have taken effect
	MoveCopied                       // the copy is complete
	MoveNoRun                        // the endpoint does not run the request
	MoveInProgress                   // another call for the same run is in progress
	MoveNoRoom                       // the copy could not be made; a stopped run's memory stays at its endpoint
	MoveRefused                      // any other refusal: the call had no effect
)

var moveStatusNames = [...]string{"unknown", "copied", "no_run", "in_progress", "no_room", "refused"}

// String implements fmt.Stringer.
func (s MoveStatus) String() string { return moveStatusNames[s] }

// MoveReply is the answer to a MoveCall.
type MoveReply struct {
	Status MoveStatus
	Handle string // names the memory to the endpoint that takes the run up, empty without any
	Events int64  // events generated so far
}

// MoveDialect encodes and decodes the calls by which runs move between endpoints.
type MoveDialect interface {
	// MoveRequest returns the request for a MoveCall.
	MoveRequest(c *MoveCall) *upstream.Request
	// ParseMoveReply decodes the status and body of the answer to a MoveCall. The error is
	// that of a body that can't be decoded; the status is MoveUnknown then.
	ParseMoveReply(status int, body []byte) (MoveReply, error)
	// FreeRequest returns the request by which an endpoint frees the memory of a handle.
	FreeRequest(endpointID, handle string) *upstream.Request
}
