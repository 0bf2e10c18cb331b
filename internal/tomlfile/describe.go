package tomlfile

import (
	"encoding"
	"reflect"
	"regexp"
	"strings"
)

// mismatchPattern matches the decoder's message on a value of the wrong type,
// such as "cannot decode TOML string into int". Other messages are reported
// unchanged.
var mismatchPattern = regexp.MustCompile(`^cannot decode TOML (.+) into (?:struct field \S+ of type )?(\S+)$`)

// describeMismatch converts the decoder's message on the key at path into the
// Wrong and Expected texts of a Problem.
func describeMismatch(message string, value any, path []string) (wrong, expected string) {
	m := mismatchPattern.FindStringSubmatch(message)
	if m == nil {
		return message, ""
	}
	return "is of type " + m[1], tomlType(m[2], typeAt(value, path))
}

// tomlType returns the TOML type that decodes into goType, the name of the Go
// type in the decoder's message. keyType is the Go type of the whole key, or
// nil; it resolves named types such as "settings.LogFormat".
func tomlType(goType string, keyType reflect.Type) string {
	switch {
	case goType == reflect.TypeFor[Duration]().String():
		return durationForm
	case goType == reflect.TypeFor[Address]().String():
		return addressForm
	case strings.HasPrefix(goType, "[]"):
		return "an array"
	case strings.Contains(goType, ".") && keyType != nil:
		if reflect.PointerTo(elementType(keyType)).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
			return "a string"
		}
		goType = elementType(keyType).Kind().String()
	}
	switch strings.TrimRight(goType, "0123456789") {
	case "string":
		return "a string"
	case "bool":
		return "true or false"
	case "int", "uint":
		return "an integer"
	case "float":
		return "a number"
	default:
		return "a table"
	}
}

// typeAt returns the type of the key at path below value, or nil.
func typeAt(value any, path []string) reflect.Type {
	t := reflect.TypeOf(value)
	for _, name := range path {
		t = elementType(t)
		if t.Kind() != reflect.Struct {
			return nil
		}
		field, ok := fieldOf(t, name)
		if !ok {
			return nil
		}
		t = field.Type
	}
	return t
}

// knownKeys returns the keys of the table that contains the last part of path.
func knownKeys(value any, path []string) []string {
	t := typeAt(value, path[:max(0, len(path)-1)])
	if t == nil || elementType(t).Kind() != reflect.Struct {
		return nil
	}
	var known []string
	for _, field := range reflect.VisibleFields(elementType(t)) {
		if name := keyOf(field); name != "" {
			known = append(known, name)
		}
	}
	return known
}

func fieldOf(t reflect.Type, key string) (reflect.StructField, bool) {
	for _, field := range reflect.VisibleFields(t) {
		if strings.EqualFold(keyOf(field), key) {
			return field, true
		}
	}
	return reflect.StructField{}, false
}

// keyOf returns the TOML key of a field. It returns "" for embedded structs,
// whose fields are listed separately, and for fields that are not decoded.
func keyOf(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
	switch {
	case name == "-" || !field.IsExported():
		return ""
	case name != "":
		return name
	case field.Anonymous:
		return ""
	default:
		return field.Name
	}
}

// elementType returns the type below all pointers, slices and maps of t.
func elementType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map {
		t = t.Elem()
	}
	return t
}
