package route

import (
	"log/slog"
	"time"

	"redwingknot/note"
)

// Defaults of Config.
const (
	defaultPieceTokens     = 2000
	defaultPrefillRate     = 20_000
	defaultHold            = 2 * time.Second
	defaultCrossDelay      = 1500 * time.Microsecond
	defaultReportTTL       = 30 * time.Second
	defaultMemory          = 500 * time.Millisecond
	defaultCopyPrice       = 1.0
	defaultOwnWeight       = 4.0
	defaultTolerance       = 0.10
	defaultSlack           = 5 * time.Millisecond
	defaultFailuresToEject = 3
	defaultEjectBase       = time.Second
	defaultEjectMax        = 30 * time.Second
	defaultMaxEjected      = 0.5
	defaultMaxBlocks       = 1 << 18
)

// Config sets up a Router. Zero fields take defaults.
type Config struct {
	Service string
	Kind    note.ServiceKind

	PieceTokens int           // prompt tokens in a cache piece
	PrefillRate float64       // prompt tokens an endpoint processes in a second
	Hold        time.Duration // first guess of how long a request holds a slot
	CrossDelay  time.Duration // one way, to endpoints of another data centre
	ReportTTL   time.Duration // older reports don't prove a weight version
	Memory      time.Duration // age at which a report counts as much as the mean of all
	CopyPrice   float64       // price of another copy of a prefix, as a share of its processing
	OwnWeight   float64       // of the router's own load at an endpoint against the mean of all

	Tolerance float64       // relative distance from the best that counts as equal
	Slack     time.Duration // absolute distance from the best that counts as equal

	FailuresToEject int           // consecutive failures
	EjectBase       time.Duration // first ejection; it doubles with each further one
	EjectMax        time.Duration
	MaxEjected      float64 // share of the endpoints that may be ejected at once

	MaxBlocks int // cached blocks remembered over all endpoints

	Log *slog.Logger
}

func (c Config) withDefaults() Config {
	setDefault(&c.Kind, note.KindModel)
	setDefault(&c.PieceTokens, defaultPieceTokens)
	setDefault(&c.PrefillRate, defaultPrefillRate)
	setDefault(&c.Hold, defaultHold)
	setDefault(&c.CrossDelay, defaultCrossDelay)
	setDefault(&c.ReportTTL, defaultReportTTL)
	setDefault(&c.Memory, defaultMemory)
	setDefault(&c.CopyPrice, defaultCopyPrice)
	setDefault(&c.OwnWeight, defaultOwnWeight)
	setDefault(&c.Tolerance, defaultTolerance)
	setDefault(&c.Slack, defaultSlack)
	setDefault(&c.FailuresToEject, defaultFailuresToEject)
	setDefault(&c.EjectBase, defaultEjectBase)
	setDefault(&c.EjectMax, defaultEjectMax)
	setDefault(&c.MaxEjected, defaultMaxEjected)
	setDefault(&c.MaxBlocks, defaultMaxBlocks)
	setDefault(&c.Log, slog.New(slog.DiscardHandler))
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
