// Package fleet holds what an instance knows of its deployment: the
// configuration in force, the endpoints that live, and how old that knowledge
// is. Its types are pure state; package follow of the gateway feeds them.
package fleet
