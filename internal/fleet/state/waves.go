package state

import (
	"cmp"
	"slices"

	"poppyarch/internal/fleet/spec"
)

// Waves divides changes into waves: a canary, then batches. The canary is taken from the failure domain with the most
// changes, so that it is representative of as many as possible. If the strategy requires it, each batch stays within
// one failure domain. Changes that take nothing out of service come first in their wave.
func Waves(changes []spec.Change, strategy *Strategy) [][]string {
	if len(changes) == 0 {
		return nil
	}
	rest := sortedByDomain(changes)
	var waves [][]string
	if canary := min(strategy.Canary, len(rest)); canary > 0 {
		waves = append(waves, releaseOrder(rest[:canary]))
		rest = rest[canary:]
	}
	batch := max(strategy.Batch.Of(len(changes)), 1)
	for len(rest) > 0 {
		wave := rest[:min(batch, len(rest))]
		if strategy.OneDomainPerWave {
			wave = firstDomain(wave)
		}
		waves = append(waves, releaseOrder(wave))
		rest = rest[len(wave):]
	}
	return waves
}

// sortedByDomain returns changes grouped by failure domain, the domain with the most changes first, and sorted by name
// within each domain.
func sortedByDomain(changes []spec.Change) []spec.Change {
	size := map[string]int{}
	for k := range changes {
		size[domainOf(&changes[k])]++
	}
	sorted := slices.Clone(changes)
	slices.SortFunc(sorted, func(a, b spec.Change) int {
		domainA, domainB := domainOf(&a), domainOf(&b)
		return cmp.Or(
			cmp.Compare(size[domainB], size[domainA]),
			cmp.Compare(domainA, domainB),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return sorted
}

// firstDomain returns the leading changes that share the failure domain of the first one.
func firstDomain(changes []spec.Change) []spec.Change {
	domain := domainOf(&changes[0])
	for k := range changes {
		if domainOf(&changes[k]) != domain {
			return changes[:k]
		}
	}
	return changes
}

func domainOf(c *spec.Change) string {
	if c.New != nil {
		return c.New.FailureDomain()
	}
	return c.Old.FailureDomain()
}

// releaseOrder returns the names of a wave's instances in the order of their release.
func releaseOrder(wave []spec.Change) []string {
	var names, disruptive []string
	for k := range wave {
		if isDisruptive(&wave[k]) {
			disruptive = append(disruptive, wave[k].Name)
		} else {
			names = append(names, wave[k].Name)
		}
	}
	return append(names, disruptive...)
}

// isDisruptive reports whether a change stops or restarts an enabled instance that stays desired.
func isDisruptive(c *spec.Change) bool {
	return c.Old != nil && c.Old.Enabled && c.New != nil && c.New.NeedsRestart(c.Old)
}
