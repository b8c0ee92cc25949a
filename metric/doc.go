// Package metric registers the counters, gauges and histograms of a process and
// serves them in the Prometheus text exposition format.
package metric
