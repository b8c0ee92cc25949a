// Package load is an open-loop load generator for operators who try a
// deployment: arrivals don't wait for answers, so a slow system is measured as
// slow.
package load
