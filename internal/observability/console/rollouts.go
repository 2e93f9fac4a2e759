package console

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/state"
)

// rolloutsTable shows active, queued and recent rollouts.
func rolloutsTable(o *api.Overview) table {
	t := table{
		columns: []column{
			numberColumn("REV"), textColumn("PHASE"), numberColumn("WAVE"), numberColumn("RELEASED"), numberColumn("AS WANTED"),
			numberColumn("FAILED"), textColumn("REASON"),
		},
		empty: "no rollouts yet",
	}
	for i := range o.Rollouts {
		t.rows = append(t.rows, rolloutRow(&o.Rollouts[i]))
	}
	return t
}

func rolloutRow(r *state.RolloutStatus) row {
	reason := r.Reason
	if r.Blocked != "" {
		reason = "held: " + r.Blocked
	}
	wave := "-"
	if r.Waves > 0 {
		wave = fmt.Sprintf("%d/%d", min(r.Wave+1, r.Waves), r.Waves)
	}
	cells := []string{
		fmt.Sprint(r.Revision), string(r.Phase), wave, fmt.Sprintf("%d/%d", r.Released, r.Size), fmt.Sprint(r.Current),
		fmt.Sprint(len(r.Failed)), reason,
	}
	detail := []string{fmt.Sprintf("rollout of revision %d is %s", r.Revision, r.Phase)}
	if reason != "" {
		detail = append(detail, reason)
	}
	if r.Phase == state.Active && r.Soaking > 0 {
		detail = append(detail, "soaking for "+formatAge(r.Soaking))
	}
	if len(r.Waiting) > 0 {
		detail = append(detail, "waiting for "+strings.Join(r.Waiting, " "))
	}
	for _, name := range slices.Sorted(maps.Keys(r.Failed)) {
		detail = append(detail, "failed: "+name+": "+r.Failed[name])
	}
	return row{name: fmt.Sprint("rollout ", r.Revision), cells: cells, detail: detail}
}
