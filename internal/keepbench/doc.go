// Package keepbench drives the decisions about kept blocks with the returning
// prompts of two deployments, against simple rivals: the same seeds give the
// same prompts and the same figures to the digit. Links serve transfers in the
// order of their start, workers compute prompts one after the other, and no
// cache of a worker outlasts a gap. It is a bench of decisions and simulates no
// cluster.
package keepbench
