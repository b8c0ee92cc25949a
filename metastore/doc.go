// Package metastore is the client of the platform's key-value service and the
// ordered log kept there. Nothing else in the system lasts.
package metastore
