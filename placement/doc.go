// Package placement lets one instance choose the engine of each heavy prompt of a
// placement group of sessions. An instance asks the owner of the group, which answers from what
// it knows of its own earlier choices, and chooses by itself if the owner does not
// answer.
package placement
