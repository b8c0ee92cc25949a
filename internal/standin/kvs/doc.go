// Package kvs implements a fake of the platform's key-value service: the part of
// the etcd v3 JSON gateway that the system uses, with an in-memory store, rate
// limits and fault injection. It is only for tests and demos.
package kvs
