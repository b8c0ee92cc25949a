package metastore

import (
	"fmt"
	"strings"
)

// logKeys names the keys of one log. The trim mark sorts behind all slots, so
// that one range read returns the slots first and the mark last.
type logKeys struct {
	name string
}

func (k logKeys) slot(n uint64) string { return fmt.Sprintf("log/%s/%020d", k.name, n) }
func (k logKeys) mark() string         { return "log/" + k.name + "/trim" }
func (k logKeys) end() string          { return k.mark() + "\x00" }
func (k logKeys) head() string         { return "snap/" + k.name + "/head" }
func (k logKeys) parts() string        { return "snap/" + k.name + "/parts/" }

// prefix is that of the parts of one attempt at a snapshot.
func (k logKeys) prefix(slot uint64, writer string, sequence uint64) string {
	return fmt.Sprintf("%s%020d/%s-%d/", k.parts(), slot, writer, sequence)
}

// partsBefore is the end of the keys of all snapshots older than slot.
func (k logKeys) partsBefore(slot uint64) string {
	return fmt.Sprintf("%s%020d/", k.parts(), slot)
}

func partKey(prefix string, i int) string { return fmt.Sprintf("%s%06d", prefix, i) }

// validName reports whether a log or writer name may be part of a key.
func validName(name string) bool {
	return name != "" && !strings.ContainsAny(name, "/\x00")
}
