package link

// Class is the purpose of a transfer. Lower values take precedence.
type Class int

// Classes of transfers.
const (
	// BringBack imports blocks from a store to an engine, for a request that
	// waits for its first token.
	BringBack Class = iota
	// Export writes the blocks of a finished request from an engine to a store.
	Export
	numClasses
)

// String returns the name of the class as metrics use it.
func (c Class) String() string {
	switch c {
	case BringBack:
		return "bring-back"
	case Export:
		return "export"
	}
	return "unknown"
}
