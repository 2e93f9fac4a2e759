package incident

// The values of Change.PresentIn. They appear in the encoded form.
const (
	inBoth       = "in both"
	onlyInFirst  = "only in the first"
	onlyInSecond = "only in the second"
)

// Change is an episode of one of two compared analyses, or a pair of matching episodes of both.
type Change struct {
	PresentIn string   `json:"what"`
	Kind      Kind     `json:"kind"`
	Subject   string   `json:"subject"`
	First     *Episode `json:"first,omitempty"`
	Second    *Episode `json:"second,omitempty"`
}

// episodeKey is the key by which episodes are matched.
type episodeKey struct {
	kind    Kind
	subject string
}

// episodeIndex holds the episodes of an analysis by key, and the keys in the order of their first episodes.
type episodeIndex struct {
	episodes map[episodeKey][]*Episode
	keys     []episodeKey
}

func indexEpisodes(a *Analysis) episodeIndex {
	index := episodeIndex{episodes: map[episodeKey][]*Episode{}}
	for i := range a.Episodes {
		e := &a.Episodes[i]
		key := episodeKey{kind: e.Kind, subject: e.Subject}
		if index.episodes[key] == nil {
			index.keys = append(index.keys, key)
		}
		index.episodes[key] = append(index.episodes[key], e)
	}
	return index
}

// Diff compares two analyses. Episodes with the same kind and subject are matched in their order.
func Diff(a, b *Analysis) []Change {
	first, second := indexEpisodes(a), indexEpisodes(b)
	var changes []Change
	for _, key := range first.keys {
		matches := second.episodes[key]
		for i, e := range first.episodes[key] {
			change := Change{PresentIn: onlyInFirst, Kind: key.kind, Subject: key.subject, First: e}
			if i < len(matches) {
				change.PresentIn = inBoth
				change.Second = matches[i]
			}
			changes = append(changes, change)
		}
	}
	for _, key := range second.keys {
		matched := len(first.episodes[key])
		for i, e := range second.episodes[key] {
			if i >= matched {
				changes = append(changes, Change{PresentIn: onlyInSecond, Kind: key.kind, Subject: key.subject, Second: e})
			}
		}
	}
	return changes
}
