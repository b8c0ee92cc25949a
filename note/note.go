package note

import "go.yaml.in/yaml/v3"

// MaxBytes is the largest note; it fits into one slot of the log.
const MaxBytes = 512 << 10

// Verb is what a note does with an object.
type Verb string

// The verbs of a note, in the order in which they are applied.
const (
	Add      Verb = "add"
	Change   Verb = "change"
	Withdraw Verb = "withdraw"
)

// Kind is a kind of configured object.
type Kind string

// The kinds of object.
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
	Changes []Item
}

// Item is one change of a note.
type Item struct {
	Verb Verb
	Kind Kind
	Name string
	Line int
	node *yaml.Node // the fields given; nil for Withdraw
}
