package soak

// Regression is a seed whose run has failed before.
type Regression struct {
	Seed  uint64
	Cause string // why it failed
}

// Regressions lists the seeds whose runs have failed before, with the default
// duration and size.
var Regressions = []Regression{
	{6, "the stand-in engines did not write the weight version that they had loaded to their store entries"},
	{12, "as seed 6, during a disruption of the store"},
	{13, "a second leave of an endpoint stopped the incarnation that had replaced it"},
	{23, "all endpoints of a service left at the same time"},
	{35, "a caller dialled a restarted gateway before it was ready"},
	{143005, "errors of resumed runs, events that came again and early ends were relayed as a stream's"},
	{210017, "a stream that was sent on a kept connection 3.3 s after SIGTERM was cut at the end of the stop"},
	{220006, "as seed 210017, a stream that may be resumed"},
	{260012, "a head without length, chunks and body was returned as a whole empty answer"},
}
