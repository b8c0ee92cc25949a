// Package event defines the catalogue of numbered log events. The page
// docs/EVENTS.md is rendered from the catalogue, and a test fails if they differ.
package event
