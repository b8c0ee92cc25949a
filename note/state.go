package note

import (
	"time"

	"redwingknot/contract"
)

// ServiceKind distinguishes services that run a model from plain applications.
type ServiceKind string

// The kinds of service.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// State is the configuration after the note with number Head. It is immutable
// once published; Apply returns a new State that shares the unchanged maps. The
// maps are keyed by name.
type State struct {
	Head      uint64 // number of the last note applied
	Models    map[string]Model
	Adapters  map[string]Adapter
	Classes   map[string]contract.Class
	Services  map[string]Service
	Teams     map[string]Team
	Endpoints map[string]Endpoint
	Stores    map[string]Store
}

// Model is a model with the weight version in force.
type Model struct {
	Name         string `yaml:"name"`
	Version      string `yaml:"version"`    // weight version; part of the keys of KV cache blocks
	VersionSetBy uint64 `yaml:"-"`          // number of the note that set Version to another value; part of the keys, too
	PieceBytes   int    `yaml:"pieceBytes"` // length in bytes of the pieces into which a prompt is split, about 2,000 tokens
	BlockBytes   int    `yaml:"blockBytes"` // size in bytes of the KV cache block of one piece
}

// Adapter is a fine-tuned addition to a model.
type Adapter struct {
	Name         string `yaml:"name"`
	Model        string `yaml:"model"`
	Version      string `yaml:"version"`
	VersionSetBy uint64 `yaml:"-"` // as in Model
}

// Service is what callers send requests to: a model or a plain application.
type Service struct {
	Name        string
	Kind        ServiceKind
	Model       string   // name of the model; only for KindModel
	ModelSetBy  uint64   // number of the note that set Model to another value; part of the keys of KV cache blocks
	Adapters    []string // names of the adapters offered; only for KindModel
	LoadsAtOnce int      // maximum number of workers that load weights at the same time; only for KindModel
	Calls       []Call   // operations; only for KindPlain
}

// Call is one operation of a plain service.
type Call struct {
	Method      string
	Path        string // path below the service; "{x}" matches one segment
	Class       string // name of the request class
	Idempotency contract.Idempotency
}

// Team is a customer. Its prompts, KV cache blocks and limits are separate from
// those of all other teams.
type Team struct {
	Name      string   `yaml:"name"`
	TokenHash string   `yaml:"tokenHash"` // SHA-256 of the team's bearer token in hex
	Services  []string `yaml:"services"`  // services the team may call
	Classes   []string `yaml:"classes"`   // model request classes the team may use; the first is the default
	Rate      float64  `yaml:"rate"`      // requests per second over the whole deployment
	Burst     float64  `yaml:"burst"`     // requests that may arrive at once above the rate
}

// Endpoint is a worker that serves the requests of one service.
type Endpoint struct {
	Name          string `yaml:"name"`
	DataCentre    string `yaml:"dataCentre"`
	Service       string `yaml:"service"`
	URL           string `yaml:"url"`
	ChecksFencing bool   `yaml:"checksFencing"` // whether it refuses orders with an outdated fencing token
	Slots         int    `yaml:"slots"`         // maximum number of requests that run at once
}

// Store is a server that keeps KV cache blocks outside the inference engines.
type Store struct {
	Name        string        `yaml:"name"`
	DataCentre  string        `yaml:"dataCentre"`
	URL         string        `yaml:"url"`
	MemoryBytes int64         `yaml:"memoryBytes"` // memory capacity
	DiskBytes   int64         `yaml:"diskBytes"`   // disk capacity
	LinkRate    int64         `yaml:"linkRate"`    // bytes per second to the endpoints of its data centre
	LinkDelay   time.Duration `yaml:"linkDelay"`   // one-way delay to those endpoints
}
