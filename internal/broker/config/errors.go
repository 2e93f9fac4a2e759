package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
)

// ErrMissing reports a required key without a value.
var ErrMissing = errors.New("missing")

// KeyError reports a key with an invalid value.
type KeyError struct {
	Key string // path of the key: the keys of the enclosing objects and its own, separated by dots
	Err error
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

func (e *KeyError) Unwrap() error { return e.Err }

func keyErrorf(key, format string, args ...any) error {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}

// prefixKey prepends the key of an object to the path of an error about one of its keys.
func prefixKey(object string, err error) error {
	var keyErr *KeyError
	if errors.As(err, &keyErr) {
		return &KeyError{Key: object + "." + keyErr.Key, Err: keyErr.Err}
	}
	return &KeyError{Key: object, Err: err}
}

// jsonError converts a type error of encoding/json to a KeyError.
func jsonError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return keyErrorf(typeErr.Field, "is a JSON %s, expected %s", typeErr.Value, typeErr.Type.Kind())
	}
	return err
}

// CheckAddress checks that a string is HOST:PORT with a numeric port.
func CheckAddress(s string) error {
	if s == "" {
		return ErrMissing
	}
	_, port, err := net.SplitHostPort(s)
	if err != nil {
		return fmt.Errorf("%q is not HOST:PORT", s)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q has no numeric port", s)
	}
	return nil
}
