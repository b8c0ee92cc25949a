package route

import (
	"log/slog"
	"time"

	"redwingknot/internal/options"
	"redwingknot/note"
)

// Defaults of Config.
const (
	defaultPieceTokens          = 2000
	defaultPrefillRate          = 20_000
	defaultInitialHold          = 2 * time.Second
	defaultCrossDataCentreDelay = 1500 * time.Microsecond
	defaultReportTTL            = 30 * time.Second
	defaultReportHalfWeightAge  = 500 * time.Millisecond
	defaultCopyCost             = 1.0
	defaultOwnLoadWeight        = 4.0
	defaultRelativeTolerance    = 0.10
	defaultAbsoluteTolerance    = 5 * time.Millisecond
	defaultFailuresToEject      = 3
	defaultMinEjection          = time.Second
	defaultMaxEjection          = 30 * time.Second
	defaultMaxEjectedShare      = 0.5
	defaultMaxBlocks            = 1 << 18
)

// Config configures a Router. Fields that are zero take their default values.
type Config struct {
	Service string           // name of the service
	Kind    note.ServiceKind // the default is note.KindModel

	PieceTokens          int           // prompt tokens in a cache piece
	PrefillRate          float64       // prompt tokens that an endpoint processes per second
	InitialHold          time.Duration // initial estimate of how long a request holds a slot of an endpoint
	CrossDataCentreDelay time.Duration // one-way network delay to endpoints in another data centre
	ReportTTL            time.Duration // older reports don't prove an endpoint's weight version
	ReportHalfWeightAge  time.Duration // age at which an observation and the estimate that replaces it count equally
	CopyCost             float64       // cost of another copy of a prefix, as a share of its processing time
	OwnLoadWeight        float64       // weight of the router's own load at an endpoint above its mean over all endpoints

	RelativeTolerance float64       // difference from the lowest cost, relative to it, that still counts as equal
	AbsoluteTolerance time.Duration // difference from the lowest cost that still counts as equal

	FailuresToEject int           // consecutive failures after which an endpoint is ejected
	MinEjection     time.Duration // duration of the first ejection, before jitter; it doubles with each further one
	MaxEjection     time.Duration // upper bound of an ejection's duration, before jitter
	MaxEjectedShare float64       // share of the endpoints that may be ejected at once

	MaxCachedBlocks int // number of cached blocks tracked over all endpoints

	Log *slog.Logger // the default discards everything
}

func (c Config) withDefaults() Config {
	options.Default(&c.Kind, note.KindModel)
	options.Default(&c.PieceTokens, defaultPieceTokens)
	options.Default(&c.PrefillRate, defaultPrefillRate)
	options.Default(&c.InitialHold, defaultInitialHold)
	options.Default(&c.CrossDataCentreDelay, defaultCrossDataCentreDelay)
	options.Default(&c.ReportTTL, defaultReportTTL)
	options.Default(&c.ReportHalfWeightAge, defaultReportHalfWeightAge)
	options.Default(&c.CopyCost, defaultCopyCost)
	options.Default(&c.OwnLoadWeight, defaultOwnLoadWeight)
	options.Default(&c.RelativeTolerance, defaultRelativeTolerance)
	options.Default(&c.AbsoluteTolerance, defaultAbsoluteTolerance)
	options.Default(&c.FailuresToEject, defaultFailuresToEject)
	options.Default(&c.MinEjection, defaultMinEjection)
	options.Default(&c.MaxEjection, defaultMaxEjection)
	options.Default(&c.MaxEjectedShare, defaultMaxEjectedShare)
	options.Default(&c.MaxCachedBlocks, defaultMaxBlocks)
	options.Default(&c.Log, slog.New(slog.DiscardHandler))
	return c
}
