// Package metric registers the counters, gauges and histograms of a process
// and serves them in the common text format.
package metric
