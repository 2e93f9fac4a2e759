package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// negative returns an error that names the first setting below 0 by its path, as the platform writes it. No setting that is
// read here can be negative.
func negative(v reflect.Value, path string) error {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return nil
		}
		return negative(v.Elem(), path)
	case reflect.Struct:
		for i := range v.NumField() {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			if err := negative(v.Field(i), path+"."+name); err != nil {
				return err
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			if err := negative(v.Index(i), fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	case reflect.Int, reflect.Int64:
		if v.Int() < 0 {
			return fmt.Errorf("%s: %d is negative", path, v.Int())
		}
	case reflect.Float64:
		if v.Float() < 0 {
			return fmt.Errorf("%s: %v is negative", path, v.Float())
		}
	}
	return nil
}
