package route

import (
	"log/slog"
	"time"

	"redwingknot/internal/options"
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

	PieceTokens          int           // prompt tokens in a cache piece
	PrefillRate          float64       // prompt tokens an endpoint processes in a second
	InitialHold          time.Duration // first guess of how long a request holds a slot
	CrossDataCentreDelay time.Duration // one way, to endpoints of another data centre
	ReportTTL            time.Duration // older reports don't prove a weight version
	ReportHalfWeightAge  time.Duration // age at which a report counts as much as the mean of all
	CopyCost             float64       // price of another copy of a prefix, as a share of its processing
	OwnLoadWeight        float64       // of the router's own load at an endpoint against the mean of all

	RelativeTolerance float64       // relative distance from the best that counts as equal
	AbsoluteTolerance time.Duration // absolute distance from the best that counts as equal

	FailuresToEject int           // consecutive failures
	MinEjection     time.Duration // first ejection; it doubles with each further one
	MaxEjection     time.Duration
	MaxEjectedShare float64 // share of the endpoints that may be ejected at once

	MaxCachedBlocks int // cached blocks remembered over all endpoints

	Log *slog.Logger
}

func (c Config) withDefaults() Config {
	options.Default(&c.Kind, note.KindModel)
	options.Default(&c.PieceTokens, defaultPieceTokens)
	options.Default(&c.PrefillRate, defaultPrefillRate)
	options.Default(&c.InitialHold, defaultHold)
	options.Default(&c.CrossDataCentreDelay, defaultCrossDelay)
	options.Default(&c.ReportTTL, defaultReportTTL)
	options.Default(&c.ReportHalfWeightAge, defaultMemory)
	options.Default(&c.CopyCost, defaultCopyPrice)
	options.Default(&c.OwnLoadWeight, defaultOwnWeight)
	options.Default(&c.RelativeTolerance, defaultTolerance)
	options.Default(&c.AbsoluteTolerance, defaultSlack)
	options.Default(&c.FailuresToEject, defaultFailuresToEject)
	options.Default(&c.MinEjection, defaultEjectBase)
	options.Default(&c.MaxEjection, defaultEjectMax)
	options.Default(&c.MaxEjectedShare, defaultMaxEjected)
	options.Default(&c.MaxCachedBlocks, defaultMaxBlocks)
	options.Default(&c.Log, slog.New(slog.DiscardHandler))
	return c
}
