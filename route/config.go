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
	defaultMaxCachedBlocks      = 1 << 18
)

// Config configures a Router. Fields that are zero take their default values.
type Config struct {
	Service string           // name of the service
	Kind    note.ServiceKind // the default is note.KindModel

	PieceTokens          int           // prompt tokens in a cache piece
	PrefillRate          float64       // prompt tokens that an endpoint prefills per second
	InitialHold          time.Duration // initial estimate of how long a request holds a slot of an endpoint
	CrossDataCentreDelay time.Duration // one-way network delay to endpoints in another data centre
	ReportTTL            time.Duration // age up to which a report proves an endpoint's weight version
	ReportHalfWeightAge  time.Duration // age at which a load report or a queueing time counts as much as the estimate that replaces it
	CopyCost             float64       // cost of another copy of a prefix to other requests, as a share of the prefix's prefill time
	OwnLoadWeight        float64       // weight of the difference between the router's own load at an endpoint and its mean own load per endpoint

	RelativeTolerance float64       // difference from the lowest cost, relative to it, that still counts as equal
	AbsoluteTolerance time.Duration // difference from the lowest cost that still counts as equal

	FailuresToEject int           // consecutive failures after which an endpoint is ejected
	MinEjection     time.Duration // duration of the first ejection, before jitter; each further ejection takes twice as long
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
	options.Default(&c.MaxCachedBlocks, defaultMaxCachedBlocks)
	options.Default(&c.Log, slog.New(slog.DiscardHandler))
	return c
}
