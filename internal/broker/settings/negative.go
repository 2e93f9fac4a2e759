package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// checkNotNegative returns an Error for the first number below 0 in v, whose path is that of v and the JSON names below it.
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
