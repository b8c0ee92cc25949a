// Package relay is the data path for requests that are passed on unchanged:
// it matches routes, authenticates, places, sends, repeats where that is
// allowed, and returns answers byte for byte.
package relay
