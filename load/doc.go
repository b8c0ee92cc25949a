// Package load generates load on a deployment for operators who test it. The
// load is open-loop: requests start on schedule without waiting for earlier
// answers, so that a slow system doesn't lower the request rate and hide its
// latency.
package load
