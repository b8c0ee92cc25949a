// Package options fills in the defaults of configurations.
package options

// Default sets *field to value if it is the zero value of its type.
func Default[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
