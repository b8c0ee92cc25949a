// Package metastoretest implements metastore.KV in memory. Tests can inject
// faults: lost responses, requests that are not sent or are delayed, outages,
// pauses before any call, and a store restored from an older copy.
package metastoretest
