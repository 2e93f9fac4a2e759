package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// checkNotNegative returns an Error for the first negative number in v. path is the path of v; the path of a nested
// value is that path followed by the JSON names of the fields and the indexes that lead to the value.
func checkNotNegative(v reflect.Value, path string) error {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return nil
		}
		return checkNotNegative(v.Elem(), path)
	case reflect.Struct:
		for i := range v.NumField() {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			if err := checkNotNegative(v.Field(i), path+"."+name); err != nil {
				return err
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			if err := checkNotNegative(v.Index(i), fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	case reflect.Int, reflect.Int64:
		if v.Int() < 0 {
			return errorf(path, "%d is negative", v.Int())
		}
	case reflect.Float64:
		if v.Float() < 0 {
			return errorf(path, "%v is negative", v.Float())
		}
	}
	return nil
}
