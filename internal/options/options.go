// Package options sets default values in configuration structs.
package options

// Default sets *field to value if *field is the zero value of its type.
func Default[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
