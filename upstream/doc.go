// Package upstream sends requests to endpoints over pooled persistent HTTP/1.1
// connections.
//
// The package never retries a request itself. Its errors state whether the
// request may have reached the endpoint. A connection on which unexpected data
// or an error occurred is not reused.
package upstream
