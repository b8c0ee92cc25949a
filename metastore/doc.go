// Package metastore implements the client of the platform's key-value service,
// which is called by the etcd v3 API, and an ordered log that is stored there. No
// other part of the system has durable state.
package metastore
