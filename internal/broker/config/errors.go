package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
)

// ErrMissing says that a key has no value.
var ErrMissing = errors.New("missing")

// KeyError says what is wrong with the value of a key.
type KeyError struct {
	Key string // with the keys of the objects around it, separated by dots
	Err error
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *KeyError) Unwrap() error { return e.Err }

func keyErrorf(key, format string, args ...any) error {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}

// within adds the key of an object to an error about one of its keys.
func within(object string, err error) error {
	var keyErr *KeyError
	if errors.As(err, &keyErr) {
		return &KeyError{Key: object + "." + keyErr.Key, Err: keyErr.Err}
	}
	return &KeyError{Key: object, Err: err}
}

// jsonError makes a type error of encoding/json name the key.
func jsonError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return keyErrorf(typeErr.Field, "cannot be a %s", typeErr.Value)
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
