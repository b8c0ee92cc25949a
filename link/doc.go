// Package link divides the bandwidth of the links between stores and engines. The
// home instance of a link keeps a byte budget for each class of transfer and grants
// small leases of it. The rate of a link is estimated from the transfers on it.
package link
