// Package upstream sends requests to endpoints over kept HTTP/1.1 connections.
//
// It never sends a request twice by itself, and its errors say whether the
// request can have reached the endpoint. A connection on which anything
// unexpected was seen is not used again.
package upstream
