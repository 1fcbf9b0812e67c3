package allowance

import "time"

const (
	// usableFraction is the fraction of an allowance that is used, since entries learn of changes in their number late.
	usableFraction = 0.7
	// startupFraction is the fraction of an allowance that is used in the first window after a start: an earlier run of the entry
	// may have used all of its part in the same window.
	startupFraction = 0.2
)

// Allowance is what all entries together may use within a window: Ratio for each unit counted, plus Slack.
type Allowance struct {
	Ratio float64
	Slack int
}

// Part returns what one of the entries may use in a window, given the units that it counted itself and its age.
func (a Allowance) Part(counted, entries int, age, window time.Duration) float64 {
	fraction, slack := usableFraction, float64(a.Slack)/float64(entries)
	if age < window {
		// The slack grows with age: entries that restart again and again get no more of it than one that runs on.
		fraction, slack = startupFraction, slack*age.Seconds()/window.Seconds()
	}
	return fraction * (a.Ratio*float64(counted) + slack)
}
