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
	Name       string `yaml:"name"`
	Version    string `yaml:"version"`    // weight version; part of every block key
	PieceBytes int    `yaml:"pieceBytes"` // prompt bytes a cache piece holds, about 2,000 tokens
	BlockBytes int    `yaml:"blockBytes"` // size of a piece's KV cache in bytes
}

// Adapter is a fine-tuned addition to a model.
type Adapter struct {
	Name    string `yaml:"name"`
	Model   string `yaml:"model"`
	Version string `yaml:"version"`
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
	Name      string   `yaml:"name"`
	TokenHash string   `yaml:"tokenHash"` // hex SHA-256 of the team's bearer token
	Services  []string `yaml:"services"`  // services the team may call
	Classes   []string `yaml:"classes"`   // model request classes the team may use; the first is the default
	Rate      float64  `yaml:"rate"`      // requests a second over the whole deployment
	Burst     float64  `yaml:"burst"`     // requests that may arrive at once
}

// Endpoint is a worker of a service.
type Endpoint struct {
	Name          string `yaml:"name"`
	DataCentre    string `yaml:"dataCentre"`
	Service       string `yaml:"service"`
	URL           string `yaml:"url"`
	ChecksFencing bool   `yaml:"checksFencing"` // refuses orders with an old fencing number
	Slots         int    `yaml:"slots"`         // requests it runs at once
}

// Store keeps KV cache blocks outside the engines.
type Store struct {
	Name        string        `yaml:"name"`
	DataCentre  string        `yaml:"dataCentre"`
	URL         string        `yaml:"url"`
	MemoryBytes int64         `yaml:"memoryBytes"`
	DiskBytes   int64         `yaml:"diskBytes"`
	LinkRate    int64         `yaml:"linkRate"`  // bytes a second to the endpoints of its data centre
	LinkDelay   time.Duration `yaml:"linkDelay"` // one way
}
