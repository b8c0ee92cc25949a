// Package place decides which endpoint runs a request. It is pure: what is
// known of the endpoints comes in, a choice goes out.
package place
