// Package endpoint keeps an instance's view of the endpoints of its data centre
// and, on the data centre's lead, brings them to the wanted state by orders.
//
// What an endpoint runs is believed only from its own report. Orders are
// idempotent declarations; a late one costs work and is repaired.
package endpoint
