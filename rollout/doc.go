// Package rollout decides which engines are ordered to load which weights, and
// when. It is pure: the engines' state and the time come in, orders go out.
package rollout
