package config

import (
	"errors"
	"fmt"
)

// FieldError reports a configuration field or an environment variable that cannot be used. Callers find it with errors.As.
// If the field is absent, the error wraps ErrMissing.
type FieldError struct {
	Field string // path of the field, such as "limits.cores" or "nvme.namespace[0].plan", or the name of the variable
	Err   error  // why it cannot be used
}

// Error returns the field's path and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the reason without the field.
func (e *FieldError) Unwrap() error { return e.Err }

// fieldError returns a FieldError whose reason is formatted as by fmt.Errorf.
func fieldError(field, format string, args ...any) *FieldError {
	return &FieldError{Field: field, Err: fmt.Errorf(format, args...)}
}

// ErrMissing is the reason in the FieldError of an absent required field.
var ErrMissing = errors.New("required field is missing")

// MissingField returns the error for a required field that is absent.
func MissingField(field string) *FieldError { return &FieldError{Field: field, Err: ErrMissing} }

// PrefixField converts an error about the value of the field parent. If err is a FieldError about a field within that value,
// parent is prepended to its path; any other error becomes a FieldError about parent itself.
func PrefixField(parent string, err error) *FieldError {
	var fieldErr *FieldError
	if errors.As(err, &fieldErr) {
		return &FieldError{Field: parent + "." + fieldErr.Field, Err: fieldErr.Err}
	}
	return &FieldError{Field: parent, Err: err}
}
