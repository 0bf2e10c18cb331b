package ledger

import (
	"cmp"
	"maps"
	"slices"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func contains[T comparable](list []T, v T) bool { return slices.Contains(list, v) }

// indexInto puts v under outer and inner key, making the inner map if needed.
func indexInto[V any](m map[string]map[string]V, outer, inner string, v V) {
	if m[outer] == nil {
		m[outer] = map[string]V{}
	}
	m[outer][inner] = v
}
