// Package metastoretest implements metastore.KV in memory, with faults that a
// test injects: lost answers, requests that were not sent or arrive late,
// outages, pauses before any call, and a store restored from an older copy.
package metastoretest
