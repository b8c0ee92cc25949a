package metastore

import (
	"fmt"
	"strings"
)

// logKeys builds the keys of one log. The key of the trim mark sorts after the
// keys of all slots, so that a range read returns the slots first and the trim
// mark last.
type logKeys struct {
	name string
}

func (k logKeys) slot(n uint64) string { return fmt.Sprintf("log/%s/%020d", k.name, n) }
func (k logKeys) trimMark() string     { return "log/" + k.name + "/trim" }
func (k logKeys) slotsEnd() string     { return k.trimMark() + "\x00" }
func (k logKeys) snapshotHead() string { return "snap/" + k.name + "/head" }
func (k logKeys) partsPrefix() string  { return "snap/" + k.name + "/parts/" }

// snapshotPrefix returns the key prefix of the parts of a snapshot up to slot.
// The writer and its commit sequence make the prefix of each attempt unique.
func (k logKeys) snapshotPrefix(slot uint64, writer string, sequence uint64) string {
	return fmt.Sprintf("%s%020d/%s-%d/", k.partsPrefix(), slot, writer, sequence)
}

// olderPartsEnd returns the exclusive end of the key range that starts at
// partsPrefix and holds the parts of all snapshots older than slot.
func (k logKeys) olderPartsEnd(slot uint64) string {
	return fmt.Sprintf("%s%020d/", k.partsPrefix(), slot)
}

func partKey(prefix string, i int) string { return fmt.Sprintf("%s%06d", prefix, i) }

// validName reports whether name, of a log or a writer, can be part of a key.
func validName(name string) bool {
	return name != "" && !strings.ContainsAny(name, "/\x00")
}
