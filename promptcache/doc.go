// Package promptcache tracks which parts of prompts the cache stores hold and
// decides which parts to fetch from them, save to them and free in them. It
// does no I/O and reads no clock: callers pass in what the stores report and
// the current time. Directory is safe for concurrent use, ResidentParts is not.
package promptcache
