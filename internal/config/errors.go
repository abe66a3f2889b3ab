package config

import (
	"errors"
	"fmt"
)

// FieldError says which field of a configuration, or which environment variable, cannot be used, and why. Callers find it
// with errors.As; where the field is absent, errors.Is finds ErrMissing.
type FieldError struct {
	Field string // path of the field, such as "limits.cores" or "nvme.namespace[0].plan"
	Err   error  // what is wrong with it
}

// Error returns the field's path and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the reason without the field.
func (e *FieldError) Unwrap() error { return e.Err }

// fieldError returns a FieldError with a formatted reason; %w wraps as in fmt.Errorf.
func fieldError(field, format string, args ...any) *FieldError {
	return &FieldError{Field: field, Err: fmt.Errorf(format, args...)}
}

// ErrMissing is wrapped by the errors of absent fields.
var ErrMissing = errors.New("required field is missing")

// MissingField returns the error of a required field that is absent.
func MissingField(field string) *FieldError { return &FieldError{Field: field, Err: ErrMissing} }

// PrefixField returns an error of the object that the field parent holds. The path of a FieldError is extended by parent; any other
// error becomes that of parent itself.
func PrefixField(parent string, err error) *FieldError {
	var field *FieldError
	if errors.As(err, &field) {
		return &FieldError{Field: parent + "." + field.Field, Err: field.Err}
	}
	return &FieldError{Field: parent, Err: err}
}
