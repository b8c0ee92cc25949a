// Package relay implements the data path for requests that are forwarded
// unchanged. It matches a request to a route, authenticates the caller's team,
// selects an endpoint, sends the request, retries it where that is allowed and
// returns the response body byte for byte.
package relay
