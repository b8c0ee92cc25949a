// Package rollout decides which engines are ordered to load which model weights,
// and when. It does no I/O: the caller passes in the engines' state and the time
// and gets the orders to send.
package rollout
