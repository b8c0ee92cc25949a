package suspect

// Subject is what may crash endpoints: a request, or a part of prompts that many requests
// have in common.
type Subject struct {
	Fingerprint Fingerprint
	// Depth is the position of a part in prompts, 1 for the first, or WholeRequest. Fewer
	// requests share a deeper part.
	Depth int
}

// WholeRequest is the depth of a request, which is deeper than its parts.
const WholeRequest = 255

// IsPart reports whether the subject is a part of prompts.
func (s Subject) IsPart() bool { return s.Depth != WholeRequest }
