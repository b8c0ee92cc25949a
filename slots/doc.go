// Package slots shares the slots of a service's endpoints between instances that each send a
// small part of its requests. One instance, the coordinator, grants the slots: Coordinator
// decides, Server runs the coordinators of this instance, and Client asks those of all.
package slots
