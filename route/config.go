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

	PieceTokens int           // prompt tokens in a cache piece
	PrefillRate float64       // prompt tokens that an endpoint processes per second
	Hold        time.Duration // initial estimate of how long a request holds a slot of an endpoint
	CrossDelay  time.Duration // one-way network delay to endpoints in another data centre
	ReportTTL   time.Duration // older reports don't prove an endpoint's weight version
	Memory      time.Duration // age at which an observation and the estimate that replaces it count equally
	CopyPrice   float64       // cost of another copy of a prefix, as a share of its processing time
	OwnWeight   float64       // weight of the router's own load at an endpoint above its mean over all endpoints

	Tolerance float64       // difference from the lowest cost, relative to it, that still counts as equal
	Slack     time.Duration // difference from the lowest cost that still counts as equal

	FailuresToEject int           // consecutive failures after which an endpoint is ejected
	EjectBase       time.Duration // duration of the first ejection, before jitter; it doubles with each further one
	EjectMax        time.Duration // upper bound of an ejection's duration, before jitter
	MaxEjected      float64       // share of the endpoints that may be ejected at once

	MaxBlocks int // number of cached blocks tracked over all endpoints

	Log *slog.Logger // the default discards everything
}

func (c Config) withDefaults() Config {
	options.Default(&c.Kind, note.KindModel)
	options.Default(&c.PieceTokens, defaultPieceTokens)
	options.Default(&c.PrefillRate, defaultPrefillRate)
	options.Default(&c.Hold, defaultInitialHold)
	options.Default(&c.CrossDelay, defaultCrossDataCentreDelay)
	options.Default(&c.ReportTTL, defaultReportTTL)
	options.Default(&c.Memory, defaultReportHalfWeightAge)
	options.Default(&c.CopyPrice, defaultCopyCost)
	options.Default(&c.OwnWeight, defaultOwnLoadWeight)
	options.Default(&c.Tolerance, defaultRelativeTolerance)
	options.Default(&c.Slack, defaultAbsoluteTolerance)
	options.Default(&c.FailuresToEject, defaultFailuresToEject)
	options.Default(&c.EjectBase, defaultMinEjection)
	options.Default(&c.EjectMax, defaultMaxEjection)
	options.Default(&c.MaxEjected, defaultMaxEjectedShare)
	options.Default(&c.MaxBlocks, defaultMaxBlocks)
	options.Default(&c.Log, slog.New(slog.DiscardHandler))
	return c
}
