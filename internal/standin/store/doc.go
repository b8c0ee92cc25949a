// Package storestandin implements a fake store instance for tests and the demo.
// It keeps blocks in process memory, has two tiers of limited size, and injects
// the failures of real stores on request.
package storestandin
