package promptcache

import (
	"strconv"
	"strings"
)

// Partition identifies a set of cached prompts that share no cache with the
// prompts of any other partition. There is one for each version of a model's
// weights, and within it one for each isolated team.
type Partition struct {
	Model   string
	Weights int64  // version of the weights
	Team    string // empty unless the team is isolated
}

const separator = "|"

// String returns the name by which endpoints and stores refer to the partition.
func (p Partition) String() string {
	s := p.Model + separator + strconv.FormatInt(p.Weights, 10)
	if p.Team != "" {
		s += separator + p.Team
	}
	return s
}

// ParsePartition parses a name that String returned. It reports false if the
// name has another form.
func ParsePartition(s string) (Partition, bool) {
	fields := strings.SplitN(s, separator, 3)
	if len(fields) < 2 {
		return Partition{}, false
	}
	weights, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return Partition{}, false
	}
	p := Partition{Model: fields[0], Weights: weights}
	if len(fields) == 3 {
		p.Team = fields[2]
	}
	return p, true
}

// Part identifies a part of prompts within a partition.
type Part struct {
	Partition string // as Partition.String returns it
	ID        string
}
