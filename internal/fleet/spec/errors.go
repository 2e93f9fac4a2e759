package spec

// FieldError reports a value that is not allowed in a field.
type FieldError struct {
	Field   string // with the instance or node in front of it, such as "broker-1.listen"
	Problem string // what is wrong, with the value where there is one
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }
