package route

import "slices"

// Candidate is a box that could take a request.
type Candidate struct {
	ID string
	// InFlight is the number of this entry's requests in flight there.
	InFlight int
	// Reported is the number of requests in flight that the box last reported, from all entries.
	Reported int
	// ReportedOwn is how many of Reported were this entry's.
	ReportedOwn int
}

// Load estimates the requests in flight at the box: this entry's at present, those of others as last reported.
func (c Candidate) Load() int {
	return c.InFlight + max(0, c.Reported-c.ReportedOwn)
}

// Picker chooses among candidates by the power of two random choices.
type Picker struct {
	// Intn returns a random number in [0, n).
	Intn func(n int) int
}

// Pick returns the less loaded of two random candidates; ok is false if there is none.
func (p *Picker) Pick(candidates []Candidate) (picked Candidate, ok bool) {
	switch len(candidates) {
	case 0:
		return Candidate{}, false
	case 1:
		return candidates[0], true
	}
	i := p.Intn(len(candidates))
	j := p.Intn(len(candidates) - 1)
	if j >= i {
		j++
	}
	if candidates[j].Load() < candidates[i].Load() {
		i = j
	}
	return candidates[i], true
}

// Exclude returns the candidates whose IDs are not in tried.
func Exclude(candidates []Candidate, tried []string) []Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return slices.Contains(tried, c.ID) })
}
