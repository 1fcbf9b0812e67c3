package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// quarantineThreshold is how many server exits quarantine a request or a prompt part; fewer may be a coincidence.
// Of 76 requests that were by chance in flight at 77 exits of 12 servers within 15 s, 44 were at one exit, 22 at two and 10 at three or more;
// selectQuarantined exempts those 10.
const quarantineThreshold = 3

const (
	// simultaneous is how close exits may be to have one cause, such as a site that loses power.
	simultaneous = 200 * time.Millisecond
	// minUnexplained is how many of the exits of a prompt part nothing else may explain, for a prompt to be quarantined for it.
	minUnexplained = 2
	// companionDivisor is the inverse of the share of a part's exits that another part of the same prompts must have to explain them.
	companionDivisor = 3
)

// selectQuarantined returns the requests to quarantine among suspects, given by the incarnations that exited with them. One
// request crashes a server while others are in flight, so a request is exempt if it shares each of its exits with a
// suspect that is quarantined, or is a prompt part, and has more exits.
func selectQuarantined(incarnations map[Fingerprint][]string, parts map[Fingerprint]bool) map[Fingerprint]bool {
	suspects := slices.SortedFunc(maps.Keys(incarnations), func(a, b Fingerprint) int {
		return cmp.Or(len(incarnations[b])-len(incarnations[a]), bytes.Compare(a[:], b[:]))
	})
	quarantined := make(map[Fingerprint]bool)
	// maxExits is, by incarnation, the largest exit count of a suspect in flight there that explains exits.
	maxExits := make(map[string]int)
	for _, suspect := range suspects {
		exited := incarnations[suspect]
		if len(exited) < quarantineThreshold || !parts[suspect] && attributed(exited, maxExits) {
			continue
		}
		quarantined[suspect] = !parts[suspect]
		for _, incarnation := range exited {
			maxExits[incarnation] = max(maxExits[incarnation], len(exited))
		}
	}
	maps.DeleteFunc(quarantined, func(_ Fingerprint, request bool) bool { return !request })
	return quarantined
}

// attributed reports whether a request shares each of its exits with a suspect that has more exits.
func attributed(exited []string, maxExits map[string]int) bool {
	for _, incarnation := range exited {
		if maxExits[incarnation] <= len(exited) {
			return false
		}
	}
	return true
}

// suspectPart is a prompt part with enough exits to quarantine prompts that have it.
type suspectPart struct {
	part  Fingerprint
	exits []partExit
}

// partExit is an exit with a suspect part in flight.
type partExit struct {
	incarnation string
	// at is when the exit was noticed, sent when the prompt was sent last, in Unix ms; 0 if unknown.
	at, sent int64
	// explanations are other prompt parts that may have caused the exit. It counts against a prompt only if the prompt has all of them:
	// otherwise it is explained by one that the prompt lacks.
	explanations []Fingerprint
}

// equal reports whether both quarantine the same prompts.
func (s suspectPart) equal(other suspectPart) bool {
	return s.part == other.part && slices.EqualFunc(s.exits, other.exits, func(a, b partExit) bool {
		return a.incarnation == b.incarnation && slices.Equal(a.explanations, b.explanations)
	})
}

// suspects reports whether a prompt with these parts is quarantined for the part.
func (s suspectPart) suspects(parts []Fingerprint) bool {
	return slices.Contains(parts, s.part) && separateExits(s.unexplained(parts)) >= minUnexplained
}

// unexplained returns the exits that count against a prompt.
func (s suspectPart) unexplained(parts []Fingerprint) []partExit {
	var exits []partExit
	for _, exit := range s.exits {
		if containsAll(parts, exit.explanations) {
			exits = append(exits, exit)
		}
	}
	return exits
}

// separateExits counts exits. Simultaneous ones under prompts that were all sent before count once: they may have one cause, and many
// prompts with a common part may have been in flight.
func separateExits(exits []partExit) int {
	n, from := 0, int64(0)
	for _, exit := range slices.SortedFunc(slices.Values(exits), func(a, b partExit) int { return cmp.Compare(a.at, b.at) }) {
		if exit.at == 0 || n == 0 || exit.sent > from || exit.at-from >= simultaneous.Milliseconds() {
			n, from = n+1, exit.at
		}
	}
	return n
}

// suspectParts returns the prompt parts among suspects that may quarantine prompts.
func (l *Ledger) suspectParts(incarnations map[Fingerprint][]string) []suspectPart {
	var suspects []suspectPart
	for part, exited := range incarnations {
		if !l.parts[part] || len(exited) < quarantineThreshold {
			continue
		}
		suspect := suspectPart{part: part}
		for _, incarnation := range exited {
			if exit, explained := l.partExit(part, incarnation, incarnations); !explained {
				suspect.exits = append(suspect.exits, exit)
			}
		}
		if separateExits(suspect.exits) >= minUnexplained && l.separate(part, exited) >= quarantineThreshold {
			suspects = append(suspects, suspect)
		}
	}
	slices.SortFunc(suspects, func(a, b suspectPart) int { return bytes.Compare(a.part[:], b.part[:]) })
	return suspects
}

// partExit returns an exit with a part in flight; explained says that a request is as likely a cause, which is more specific. incarnations
// are the sorted exits of all suspects.
func (l *Ledger) partExit(part Fingerprint, incarnation string, incarnations map[Fingerprint][]string) (exit partExit, explained bool) {
	exit = l.exitOf(part, incarnation)
	own := len(incarnations[part])
	explain := func(other Fingerprint) {
		if other != part && !slices.Contains(exit.explanations, other) {
			exit.explanations = append(exit.explanations, other)
		}
	}
	for _, key := range l.keysByIncarnation[incarnation] {
		record := l.exits[key]
		if slices.ContainsFunc(record.Requests, func(request Fingerprint) bool {
			return l.quarantined[request] && len(incarnations[request]) >= own
		}) {
			return exit, true
		}
		for _, prompt := range record.Prompts {
			shared := slices.Contains(prompt.Parts, part)
			for _, other := range prompt.Parts {
				n := len(incarnations[other])
				if n <= own && (!shared || n < minUnexplained || n*companionDivisor < own) {
					continue
				}
				if _, uncleared := slices.BinarySearch(incarnations[other], incarnation); uncleared {
					explain(other)
				}
			}
		}
	}
	return exit, false
}

// separate counts the separate exits of a part.
func (l *Ledger) separate(part Fingerprint, incarnations []string) int {
	exits := make([]partExit, len(incarnations))
	for i, incarnation := range incarnations {
		exits[i] = l.exitOf(part, incarnation)
	}
	return separateExits(exits)
}

// exitOf returns an exit with a part in flight, without explanations.
func (l *Ledger) exitOf(part Fingerprint, incarnation string) partExit {
	exit := partExit{incarnation: incarnation}
	for _, key := range l.keysByIncarnation[incarnation] {
		record := l.exits[key]
		if exit.at == 0 || record.At != 0 && record.At < exit.at {
			exit.at = record.At
		}
		for _, prompt := range record.Prompts {
			if slices.Contains(prompt.Parts, part) {
				exit.sent = max(exit.sent, prompt.Sent)
			}
		}
	}
	return exit
}
