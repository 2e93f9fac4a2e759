package nodefile

import (
	"cmp"
	"slices"
)

// Values of Difference.What.
const (
	added   = "added"
	removed = "removed"
	changed = "changed"
)

// Difference describes a node that differs between two lists.
type Difference struct {
	ID   string   `json:"id"`
	What string   `json:"what"`           // added, removed, changed
	Keys []string `json:"keys,omitempty"` // settings that differ, if What is changed
}

// Diff compares two lists by node ID. The differences are sorted by ID.
func Diff(before, after []Row) []Difference {
	rowsBefore, rowsAfter := byID(before), byID(after)
	var differences []Difference
	for id, row := range rowsBefore {
		other := rowsAfter[id]
		if other == nil {
			differences = append(differences, Difference{ID: id, What: removed})
			continue
		}
		if keys := differingKeys(row, other); len(keys) > 0 {
			differences = append(differences, Difference{ID: id, What: changed, Keys: keys})
		}
	}
	for id := range rowsAfter {
		if rowsBefore[id] == nil {
			differences = append(differences, Difference{ID: id, What: added})
		}
	}
	slices.SortFunc(differences, func(a, b Difference) int { return cmp.Compare(a.ID, b.ID) })
	return differences
}

func byID(rows []Row) map[string]*Row {
	m := make(map[string]*Row, len(rows))
	for i := range rows {
		m[rows[i].ID] = &rows[i]
	}
	return m
}

func differingKeys(a, b *Row) []string {
	valuesA, valuesB := a.values(), b.values()
	var keys []string
	for _, key := range knownKeys {
		if valuesA[key] != valuesB[key] {
			keys = append(keys, key)
		}
	}
	return keys
}
