// Package tomlerror says where in a TOML file something is wrong.
package tomlerror

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error names the file, the line and the key of an error of the library's.
func Error(path string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := strict.Errors[0]
		line, _ := e.Position()
		return fmt.Errorf("%s:%d: %s: unknown key", path, line, strings.Join(e.Key(), "."))
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		line, _ := de.Position()
		key := strings.Join(de.Key(), ".")
		if key != "" {
			key += ": "
		}
		return fmt.Errorf("%s:%d: %s%s", path, line, key, strings.TrimPrefix(de.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", path, err)
}
