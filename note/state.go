package note

import (
	"time"

	"redwingknot/contract"
)

// ServiceKind tells model services from plain ones.
type ServiceKind string

// The kinds of service.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// State is the configuration after the note number Head. It is immutable once
// published; Apply returns a new State that shares unchanged parts.
type State struct {
	Head      uint64
	Models    map[string]Model
	Adapters  map[string]Adapter
	Classes   map[string]contract.Class
	Services  map[string]Service
	Teams     map[string]Team
	Endpoints map[string]Endpoint
	Stores    map[string]Store
}

// Model is a model and the weight version in force.
type Model struct {
	Name       string
	Version    string // weight version; part of every block key
	PieceBytes int    // prompt bytes a cache piece holds, about 2,000 tokens
	BlockBytes int    // size of a piece's KV cache in bytes
}

// Adapter is a fine-tuned addition to a model.
type Adapter struct {
	Name    string
	Model   string
	Version string
}

// Service is what callers address: a model or a plain application.
type Service struct {
	Name        string
	Kind        ServiceKind
	Model       string   // for KindModel
	Adapters    []string // for KindModel
	LoadsAtOnce int      // workers that may load weights at the same time
	Calls       []Call   // for KindPlain
}

// Call is one operation of a plain service.
type Call struct {
	Method      string
	Path        string // path below the service, "{x}" matches one segment
	Class       string
	Idempotency contract.Idempotency
}

// Team is a customer; its prompts, blocks and limits are apart from all others.
type Team struct {
	Name      string
	TokenHash string   // hex SHA-256 of the team's bearer token
	Services  []string // services the team may call
	Classes   []string // model request classes the team may use; the first is the default
	Rate      float64  // requests a second over the whole deployment
	Burst     float64  // requests that may arrive at once
}

// Endpoint is a worker of a service.
type Endpoint struct {
	Name          string
	DataCentre    string
	Service       string
	URL           string
	ChecksFencing bool // refuses orders with an old fencing number
	Slots         int  // requests it runs at once
}

// Store keeps KV cache blocks outside the engines.
type Store struct {
	Name        string
	DataCentre  string
	URL         string
	MemoryBytes int64
	DiskBytes   int64
	LinkRate    int64         // bytes a second to the endpoints of its data centre
	LinkDelay   time.Duration // one way
}
