package peers

import "slices"

// maxGroup is the most peers that an instance exchanges reports with. In larger
// fleets an instance's share of the work at an endpoint is small, and what a
// sample tells, scaled up, is near the whole.
const maxGroup = 10

// group returns the peers of self: all in a small fleet, else its neighbours on
// both sides in the order of names, so that being a peer is mutual.
func group(self string, names []string) []string {
	names = slices.Clone(names)
	if !slices.Contains(names, self) {
		names = append(names, self)
	}
	slices.Sort(names)
	n, at := len(names), slices.Index(names, self)
	if n-1 <= maxGroup {
		return slices.Delete(names, at, at+1)
	}
	var peers []string
	for i := 1; i <= maxGroup/2; i++ {
		peers = append(peers, names[(at+i)%n], names[(at-i+n)%n])
	}
	return peers
}
