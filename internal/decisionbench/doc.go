// Package decisionbench drives the decisions of routing, admission and retries
// with fakes at their interfaces, side by side with rivals: engines as queues
// with continuous batching and a prefix cache, late load reports, and store
// links with limited bandwidth. Time is simulated and every draw is seeded, so
// that a run repeats to the digit. It does not simulate a cluster: there are no
// processes, no failures of the control plane and no partitions.
package decisionbench
