package compat

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"poppyarch/internal/fleet/state"
)

var update = flag.Bool("update", false, "rewrite the files under testdata; only for encodings that no released version has written")

// compareGolden fails the test if got differs from a file under testdata. With -update it writes the file first.
func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want := readFile(t, path)
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs\n got: %s\nwant: %s", path, got, want)
	}
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// filler sets every field of a value to a non-zero value, which is the same in every run.
type filler struct {
	next  int64
	depth int // of the value being filled
}

// maxDepth bounds the filling of recursive types.
const maxDepth = 8

func (f *filler) number() int64 {
	f.next++
	return f.next
}

func (f *filler) fill(v reflect.Value) {
	if f.depth++; f.depth > maxDepth {
		f.depth--
		return
	}
	defer func() { f.depth-- }()
	switch value := v.Addr().Interface().(type) {
	case *state.CountOrPercent:
		*value = state.CountOrPercent{Count: int(f.number())}
		return
	case *time.Time:
		*value = time.Unix(1_700_000_000+f.number(), 123_000).UTC()
		return
	case *json.RawMessage:
		*value = json.RawMessage(`{"raw":true}`)
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(f.number())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.number()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.number()) + 0.5)
	case reflect.String:
		v.SetString("text-" + string(rune('a'+f.number()%26)))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		f.fill(v.Index(0))
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key := reflect.New(v.Type().Key()).Elem()
		f.fill(key)
		element := reflect.New(v.Type().Elem()).Elem()
		f.fill(element)
		v.SetMapIndex(key, element)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i))
			}
		}
	}
}

// filled returns a pointer to a filled value of the type that example points to.
func filled(example any) any {
	value := reflect.New(reflect.TypeOf(example).Elem())
	new(filler).fill(value.Elem())
	return value.Interface()
}
