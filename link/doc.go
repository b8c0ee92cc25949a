// Package link shares the links between stores and engines: byte budgets by
// class of transfer, granted in small leases by a link's home instance, and
// estimates of what a link carries from the transfers seen on it.
package link
