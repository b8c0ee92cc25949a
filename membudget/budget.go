package membudget

import (
	"fmt"
	"sync"
)

// FreeBytes is the part of each message that counts for nothing, so that usual messages never
// lack room.
const FreeBytes = 4 << 10

// Budget bounds the bytes of all messages that are held at one time. It is safe for concurrent
// use.
//
// Invariant: used is the sum of what all holds count, and at most limit.
type Budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
}

// New returns a Budget of the given number of bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the bytes that are in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Account is the use of a Budget by the messages of one sender. A nil Account has no limit.
//
// An account may not use more than is left to all others. However many bytes some senders
// send, as much as the largest of them uses is left for any other.
//
// Load pattern: endpoints send bytes without end, on hundreds of connections at once, while
// others send usual responses.
type Account struct {
	budget *Budget
	used   int64 // guarded by the mutex of budget
}

// NewAccount returns an account that uses nothing.
func (b *Budget) NewAccount() *Account { return &Account{budget: b} }

// ExceededError reports that a message found no room in a Budget.
type ExceededError struct {
	Bytes int64 // that the message was to have
	Used  int64 // by all messages
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("no memory for a message of %d bytes beside %d of others", e.Bytes, e.Used)
}

// Hold is the memory for one message. The zero value has no limit. It is not safe for concurrent
// use.
type Hold struct {
	budget  *Budget
	account *Account // nil without a limit for each sender
	counted int64
}

// Hold returns the memory for a message of which nothing is held yet, without a limit for each
// sender.
func (b *Budget) Hold() Hold { return Hold{budget: b} }

// Hold returns the memory for a message of the account's sender, of which nothing is held yet.
func (a *Account) Hold() Hold {
	if a == nil {
		return Hold{}
	}
	return Hold{budget: a.budget, account: a}
}

// Resize changes the number of bytes held. It must be called before the memory is allocated. If
// there is no room, it changes nothing and returns an *ExceededError; fewer bytes always have
// room.
func (h *Hold) Resize(bytes int64) error {
	if h.budget == nil {
		return nil
	}
	counted := max(bytes-FreeBytes, 0)
	grown := counted - h.counted
	if grown == 0 {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if grown > 0 && !b.hasRoom(h.account, grown) {
		return &ExceededError{Bytes: bytes, Used: b.used}
	}
	b.used += grown
	if h.account != nil {
		h.account.used += grown
	}
	h.counted = counted
	return nil
}

// hasRoom reports whether a message of an account may grow by the given number of bytes. The
// caller holds mu.
func (b *Budget) hasRoom(a *Account, grown int64) bool {
	left := b.limit - b.used - grown
	return left >= 0 && (a == nil || a.used+grown <= left)
}

// Release ends the hold.
func (h *Hold) Release() {
	_ = h.Resize(0) // fewer bytes always have room
}
