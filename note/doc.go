// Package note implements release notes. A note is a set of configuration
// changes that an operator submits as one unit. The package parses and validates
// notes, and holds the configuration that results from applying the accepted
// notes in order.
//
// The platform is the key-value service that package metastore calls. It stores the
// accepted notes in a log.
package note
