package engine

import (
	"math"
	"time"

	"github.com/coralstair/coralstair/contract"
)

// Load is the known load of an engine.
type Load struct {
	// Decoding is the number of requests that receive tokens, Prefilling the number that wait for their first.
	Decoding   int
	Prefilling int
	// PrefillTokens is the number of prompt tokens of requests that wait for their first token.
	PrefillTokens int
	// Slowdown is the factor by which the engine is slower than usual; 0 and 1 mean as usual.
	Slowdown float64
	// Overtaken is the fraction of the requests yet to come that get a slot before the one whose wait is predicted.
	Overtaken float64
}

// leastOwnSlots is the least fraction of the freed slots that is assumed to go to requests which are not overtaken. Without it the
// predicted wait would grow without bound as Overtaken nears 1, while more urgent requests don't fill all slots for long.
const leastOwnSlots = 0.25

// Units of an engine's parameters for context tokens and for pairs of tokens.
const (
	thousand = 1000
	million  = 1e6
)

// StepTime returns the time of one decode step for a number of decoding requests.
func StepTime(e *contract.Engine, decoding int) time.Duration {
	context := float64(decoding*(e.UsualPrompt+e.UsualAnswer/2)) / thousand
	return e.Step + time.Duration(decoding)*e.PerSequence + time.Duration(context*float64(e.PerContext))
}

// PrefillTime returns the prefill time of a number of prompt tokens, spread evenly over requests.
func PrefillTime(e *contract.Engine, tokens, requests int) time.Duration {
	if e.ReadRate <= 0 || tokens <= 0 {
		return 0
	}
	perRequest := float64(tokens) / float64(max(requests, 1))
	pairs := float64(max(requests, 1)) * perRequest * perRequest / 2 / million
	return time.Duration(float64(tokens)/e.ReadRate*float64(time.Second) + pairs*float64(e.PerPairs))
}

// TimeToFirstEvent returns the time to the first event of a request with a number of prompt tokens at a load.
func TimeToFirstEvent(e *contract.Engine, load Load, prompt int) time.Duration {
	tokens := load.PrefillTokens + prompt
	stride := time.Duration(e.Stride) * StepTime(e, load.Decoding+1)
	first := PrefillTime(e, tokens, load.Prefilling+1)
	if e.Chunk > 0 && load.Decoding > 0 {
		first += time.Duration(math.Ceil(float64(tokens)/float64(e.Chunk))) * stride
	}
	return load.slowed(first + stride + wait(e, load))
}

// slowed returns the time that the engine needs for what usually takes d.
func (l Load) slowed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * max(l.Slowdown, 1))
}

// WithoutOvertaken returns the part of the load that goes before a request which overtakes the given number of the requests without a first
// event, with the given prompt tokens in all. Only those that wait for a slot can be overtaken. Which ones wait is not known, so the number
// and the tokens count by the fraction that waits.
func (l Load) WithoutOvertaken(e *contract.Engine, requests, tokens float64) Load {
	queued := min(l.Decoding+l.Prefilling-e.Slots, l.Prefilling)
	if queued <= 0 || e.Slots == 0 {
		return l
	}
	waiting := float64(queued) / float64(l.Prefilling)
	l.Prefilling -= int(math.Round(requests * waiting))
	l.PrefillTokens -= int(math.Round(tokens * waiting))
	return l
}

// IsFull reports whether one more request would wait for a slot.
func (l Load) IsFull(e *contract.Engine) bool {
	return e.Slots > 0 && l.Decoding+l.Prefilling >= e.Slots
}

// Free returns the number of free slots.
func (l Load) Free(e *contract.Engine) int { return max(e.Slots-l.Decoding-l.Prefilling, 0) }

// Queued returns the number of requests that wait for a slot.
func (l Load) Queued(e *contract.Engine) int { return max(l.Decoding+l.Prefilling-e.Slots, 0) }

// NoWait returns the time to the first event at an engine with one free slot and no prompt to prefill, without the request's own prompt.
func NoWait(e *contract.Engine) time.Duration {
	return TimeToFirstEvent(e, Load{Decoding: max(e.Slots-1, 0)}, 1)
}

// wait returns the time until a slot is free for one more request. Requests that overtake it take the Overtaken part of the freed slots.
func wait(e *contract.Engine, load Load) time.Duration {
	excess := load.Decoding + load.Prefilling + 1 - e.Slots
	if excess <= 0 || e.Slots == 0 {
		return 0
	}
	until := time.Duration(excess) * SlotTime(e, load) / time.Duration(e.Slots)
	if load.Overtaken > 0 {
		until = time.Duration(float64(until) / max(1-load.Overtaken, leastOwnSlots))
	}
	return until
}

// SlotTime returns how long a usual request occupies its slot at a load.
func SlotTime(e *contract.Engine, load Load) time.Duration {
	decoding := min(load.Decoding+load.Prefilling, e.Slots)
	step := StepTime(e, decoding)
	// The prompt of each slot is prefilled once while an answer is written.
	return PrefillTime(e, e.UsualPrompt*max(decoding, 1), max(decoding, 1)) + time.Duration(e.UsualAnswer)*step
}

// SlotWait returns the mean time until one of a full engine's slots is free.
func SlotWait(e *contract.Engine) time.Duration {
	if e.Slots == 0 {
		return 0
	}
	return SlotTime(e, Load{Decoding: e.Slots}) / time.Duration(e.Slots)
}

// DecodeTime returns the time to decode a number of tokens after the first at a load; 0 tokens mean the usual number.
func DecodeTime(e *contract.Engine, load Load, tokens int) time.Duration {
	if tokens <= 0 {
		tokens = e.UsualAnswer
	}
	decoding := max(load.Decoding+load.Prefilling, 1)
	// While one request decodes, the prompts of the other slots are prefilled in turn.
	prefill := PrefillTime(e, e.UsualPrompt, 1) * time.Duration(decoding) * time.Duration(tokens) / time.Duration(max(e.UsualAnswer, 1))
	return load.slowed(time.Duration(tokens)*StepTime(e, decoding) + prefill)
}
