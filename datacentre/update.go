package datacentre

import "redwingknot/note"

// Update is a run of accepted notes, or a snapshot of the configuration and
// the notes that follow it.
type Update = note.Update

// NoteStore is the local book of accepted notes that a Spread keeps up to date.
// Head never falls, and Offer applies note n only after n-1.
type NoteStore interface {
	// Head returns the number of the last note in force, 0 for none.
	Head() uint64
	// Changed returns a channel that is closed when the head next rises.
	Changed() <-chan struct{}
	// UpdateSince returns what follows head, with notes of about maxBytes at most.
	UpdateSince(head uint64, maxBytes int) Update
	// ApplyUpdate applies what the book lacks of an update.
	ApplyUpdate(u Update) error
}

// lastOf returns the head after an update.
func lastOf(u Update) uint64 {
	if len(u.Notes) > 0 {
		return u.First + uint64(len(u.Notes)) - 1
	}
	return u.SnapshotHead
}

// follows reports whether u can be applied to a book at head.
func follows(u Update, head uint64) bool {
	if u.SnapshotHead > head {
		return true
	}
	return len(u.Notes) > 0 && u.First <= head+1 && lastOf(u) > head
}
