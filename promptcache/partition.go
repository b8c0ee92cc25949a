package promptcache

import (
	"strconv"
	"strings"
)

// Partition is a part of all caches whose prompts share nothing with those of
// others: a model's weights, and a team if the team is isolated.
type Partition struct {
	Model   string
	Weights int64
	Team    string // empty unless the team is isolated
}

const separator = "|"

// String renders the partition as endpoints and stores name it.
func (p Partition) String() string {
	s := p.Model + separator + strconv.FormatInt(p.Weights, 10)
	if p.Team != "" {
		s += separator + p.Team
	}
	return s
}

// ParsePartition reverses String; false for names that it does not give.
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

// Part names a part of prompts in a partition.
type Part struct {
	Partition string
	ID        string
}
