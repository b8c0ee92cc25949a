// Package entry assembles an entry instance: the data path towards callers and
// endpoints, and the control that instances share among themselves.
package entry
