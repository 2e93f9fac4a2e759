// Package tomlerror adds the file, line and key to errors in TOML files.
package tomlerror

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Wrap adds the file's path to an error of the TOML library, and the line and the key if the error has them. Of
// several unknown keys it reports the first.
func Wrap(path string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		unknown := strict.Errors[0]
		line, _ := unknown.Position()
		return fmt.Errorf("%s:%d: %s: unknown key", path, line, strings.Join(unknown.Key(), "."))
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		key := strings.Join(decodeErr.Key(), ".")
		if key != "" {
			key += ": "
		}
		return fmt.Errorf("%s:%d: %s%s", path, line, key, strings.TrimPrefix(decodeErr.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", path, err)
}
