package operator

import (
	"redwingknot/engine"
	"redwingknot/note"
)

// NoteAnswer is the body of the response to a submitted release note.
type NoteAnswer struct {
	Head    uint64       // number of the accepted note
	Error   string       `json:",omitempty"` // why the note was not accepted
	Faults  []note.Fault `json:",omitempty"` // faults of an invalid note
	Other   uint64       `json:",omitempty"` // number of the note that was accepted instead
	Unknown bool         `json:",omitempty"` // whether the note was accepted is unknown
}

// InstanceStatus describes an instance as the answering instance sees it.
type InstanceStatus struct {
	ID, DataCentre, Addr string
	Ready, Leaving       bool
}

// DataCentreStatus describes which notes are in force in a data centre.
type DataCentreStatus struct {
	Name      string
	InForce   uint64 // head that all its live instances had in force
	Known     bool   // whether the platform's key-value service could be read
	Reachable bool   // whether an instance there was heard from recently
}

// Status is the state of the deployment as the answering instance knows it.
type Status struct {
	Instance    string
	DataCentre  string
	Head        uint64 // number of the last note in force in the answering instance
	Behind      uint64 // number of notes that the instance knows it lacks
	Lead        bool   // whether the instance leads its data centre
	Ready       bool   // whether the instance has a configuration
	Instances   []InstanceStatus
	DataCentres []DataCentreStatus
}

// EndpointStatus describes an endpoint as the answering instance sees it.
type EndpointStatus struct {
	Endpoint note.Endpoint
	Usable   bool // whether it may get new work
	Leaving  bool
	Reported bool // whether Report is recent
	Report   engine.Report
}
