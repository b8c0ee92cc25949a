// Package keepbench benchmarks the decisions about blocks kept in stores against
// simple baseline policies, with the returning prompts of two deployments. The same
// seed gives the same prompts and exactly the same figures. Transfers share their
// link evenly, each up to the rate of its lease, workers compute one prompt at a
// time, and a worker's own cache never lasts until a prompt returns. The package
// benchmarks decisions; it does not simulate a cluster.
package keepbench
