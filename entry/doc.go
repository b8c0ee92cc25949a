// Package entry assembles an entry instance: the data path between callers and
// endpoints, and the control components that the instances run together.
package entry
