// Package decisionbench benchmarks the decisions of routing, admission and retries
// against baseline policies. It calls the production code with simulated
// surroundings: engines that are queues with continuous batching and a prefix
// cache, load reports that arrive late, and store links with limited bandwidth.
// Time is simulated and every random draw is seeded, so that a run is exactly
// reproducible. It does not simulate a cluster: there are no processes, no
// failures of the control plane and no network partitions.
package decisionbench
