// Package endpoint maintains an instance's view of the endpoints in its data
// centre. On the data centre's leader it also sends the endpoints orders that
// bring them to the wanted state.
//
// An endpoint's own report is the only source for what the endpoint runs.
// Orders declare the wanted state and are idempotent. An order that takes effect
// late causes extra work, and a later order corrects the result.
package endpoint
