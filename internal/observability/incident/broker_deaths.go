package incident

import "fmt"

// findBrokerDeaths adds an episode for each incarnation that ended without recording that it stopped.
func (v *analyzer) findBrokerDeaths() {
	for _, s := range v.analysis.Knowledge {
		if s.State != Dead {
			continue
		}
		e := Episode{
			Kind:     BrokerDead,
			Subject:  s.Broker,
			Begin:    Bound{s.From, s.From + s.FromError},
			End:      exactly(s.To),
			Open:     s.To >= v.analysis.To,
			Evidence: []string{fmt.Sprintf("boot %s has its last word at %s and never said that it stopped", s.IncarnationID, FormatTime(s.From))},
		}
		if !e.Open {
			e.Evidence = append(e.Evidence, fmt.Sprintf("another boot begins at %s", FormatTime(s.To)))
		}
		v.addEpisode(e)
	}
}
