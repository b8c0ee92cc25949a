package datacentre

import "redwingknot/note"

// Update is a sequence of consecutive accepted notes, or a snapshot of the
// configuration with the notes that follow it.
type Update = note.Update

// NoteStore is the local store of accepted notes that a NoteReplicator keeps up to
// date. Head never decreases, and ApplyUpdate applies note n only after note n-1.
type NoteStore interface {
	// Head returns the number of the last note in force, 0 for none.
	Head() uint64
	// Changed returns a channel that is closed at the next increase of the head.
	Changed() <-chan struct{}
	// UpdateSince returns the notes after head, limited to about maxBytes in total, or
	// a snapshot if they are no longer stored individually.
	UpdateSince(head uint64, maxBytes int) Update
	// ApplyUpdate applies those notes of u, or its snapshot, that are not yet in force.
	ApplyUpdate(u Update) error
}

// headAfter returns the head of a store that has applied u.
func headAfter(u Update) uint64 {
	if len(u.Notes) > 0 {
		return u.First + uint64(len(u.Notes)) - 1
	}
	return u.SnapshotHead
}

// canApply reports whether a store at the given head can apply u and thereby raise
// its head.
func canApply(u Update, head uint64) bool {
	if u.SnapshotHead > head {
		return true
	}
	return len(u.Notes) > 0 && u.First <= head+1 && headAfter(u) > head
}
