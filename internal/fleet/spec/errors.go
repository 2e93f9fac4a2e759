package spec

// FieldError reports a value that is not allowed in a field.
type FieldError struct {
	Field   string // prefixed with the instance or node, such as "broker-1.listen"
	Problem string // what is wrong, including the value if there is one
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }
