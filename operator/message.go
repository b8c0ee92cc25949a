package operator

import (
	"redwingknot/engine"
	"redwingknot/note"
)

// NoteAnswer tells an operator what became of a note.
type NoteAnswer struct {
	Head    uint64       // number of the accepted note
	Error   string       `json:",omitempty"`
	Faults  []note.Fault `json:",omitempty"`
	Other   uint64       `json:",omitempty"` // number of the note that was accepted instead
	Unknown bool         `json:",omitempty"` // the note may be accepted
}

// InstanceStatus is what an instance tells of one instance.
type InstanceStatus struct {
	ID, DataCentre, Addr string
	Ready, Leaving       bool
}

// DataCentreStatus is what is known of the notes in force in a data centre.
type DataCentreStatus struct {
	Name      string
	InForce   uint64 // head that all its live instances had in force
	Known     bool   // the platform could be asked
	Reachable bool   // an instance there was heard of lately
}

// Status is the state of the deployment as one instance knows it.
type Status struct {
	Instance    string
	DataCentre  string
	Head        uint64 // in force in this instance
	Behind      uint64 // notes that this instance knows it lacks
	Lead        bool
	Ready       bool
	Instances   []InstanceStatus
	DataCentres []DataCentreStatus
}

// EndpointStatus is what an instance knows of an endpoint.
type EndpointStatus struct {
	Endpoint note.Endpoint
	Usable   bool
	Leaving  bool
	Reported bool
	Report   engine.Report
}
