// Package admit decides under overload which requests run: those of the least
// worth for the work they cost are refused first, at once, and within a class
// a large team gives way before a small one.
package admit
