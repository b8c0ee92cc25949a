// Package kvs is a stand-in for the platform's key-value service: the part of
// the etcd v3 JSON gateway that the system uses, over a store in memory, with
// held rates and injected faults. It serves tests and demos only.
package kvs
