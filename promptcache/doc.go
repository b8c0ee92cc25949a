// Package promptcache knows which parts of prompts the cache stores hold and
// decides what to fetch from them, save to them and free in them. It is pure
// state behind a mutex: what the stores tell and the time come in.
package promptcache
