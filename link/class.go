package link

// Class is the purpose of a transfer, in order of precedence.
type Class int

// The classes of transfer.
const (
	// BringBack serves a request that waits for its first token.
	BringBack Class = iota
	// Export writes the blocks of an ended request to a store.
	Export
	classes
)

// String returns the name of the class, as used in metrics.
func (c Class) String() string {
	switch c {
	case BringBack:
		return "bring-back"
	case Export:
		return "export"
	}
	return "unknown"
}
