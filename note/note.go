package note

import "go.yaml.in/yaml/v3"

// MaxBytes is the maximum size of a note's text in bytes. A note of that size
// fits into one slot of the log.
const MaxBytes = 512 << 10

// Verb is the operation that a note performs on an object.
type Verb string

// The verbs, in the order in which the changes of a note are applied.
const (
	Add      Verb = "add"
	Change   Verb = "change"
	Withdraw Verb = "withdraw"
)

// Kind is the type of a configured object, as named in a note.
type Kind string

// The kinds of configured object.
const (
	Models    Kind = "models"
	Adapters  Kind = "adapters"
	Classes   Kind = "classes"
	Services  Kind = "services"
	Teams     Kind = "teams"
	Endpoints Kind = "endpoints"
	Stores    Kind = "stores"
)

// Note is a parsed release note. It is immutable.
type Note struct {
	Title   string
	Author  string
	Changes []ObjectChange
}

// ObjectChange is one change in a note: a verb and the object it applies to.
type ObjectChange struct {
	Verb Verb
	Kind Kind
	Name string
	Line int        // line of the object in the note's text
	node *yaml.Node // fields given in the note; nil for Withdraw
}
