package soak

// Regression is a seed that once failed.
type Regression struct {
	Seed  uint64
	Cause string
}

// Regressions are the seeds that once failed, at the usual duration and size.
var Regressions = []Regression{
	{6, "the stand-in engines did not list the weights that they had loaded"},
	{12, "the same, with a store in trouble beside it"},
	{13, "a second order to leave ended the endpoint that had replaced the first"},
	{23, "all endpoints of a service left at once"},
	{35, "a caller dialled a gateway again that was not ready yet"},
}
