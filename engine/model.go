package engine

import (
	"math"
	"time"

	"github.com/coralstair/coralstair/contract"
)

// Load is what is known to be at an engine.
type Load struct {
	// Writing is how many requests get tokens, Reading how many wait for their first.
	Writing int
	Reading int
	// Unread is the prompt tokens of those that wait for their first token.
	Unread int
	// Slow is how many times slower than usual the engine works; 0 and 1 mean as usual.
	Slow float64
}

// The units in which the figures of an engine count context and pairs of tokens.
const (
	thousand = 1000
	million  = 1e6
)

// Step returns the time of one token step while so many requests are written.
func Step(e *contract.Engine, writing int) time.Duration {
	context := float64(writing*(e.UsualPrompt+e.UsualAnswer/2)) / thousand
	return e.Step + time.Duration(writing)*e.PerSequence + time.Duration(context*float64(e.PerContext))
}

// Read returns the time that reading so many prompt tokens of so many requests takes.
func Read(e *contract.Engine, tokens, requests int) time.Duration {
	if e.ReadRate <= 0 || tokens <= 0 {
		return 0
	}
	each := float64(tokens) / float64(max(requests, 1))
	pairs := float64(max(requests, 1)) * each * each / 2 / million
	return time.Duration(float64(tokens)/e.ReadRate*float64(time.Second) + pairs*float64(e.PerPairs))
}

// First returns how long a request with so many prompt tokens waits for its first event at a load.
func First(e *contract.Engine, load Load, prompt int) time.Duration {
	tokens := load.Unread + prompt
	pass := time.Duration(e.Stride) * Step(e, load.Writing+1)
	first := Read(e, tokens, load.Reading+1)
	if e.Chunk > 0 && load.Writing > 0 {
		first += time.Duration(math.Ceil(float64(tokens)/float64(e.Chunk))) * pass
	}
	first += pass + wait(e, load)
	if load.Slow > 1 {
		first = time.Duration(float64(first) * load.Slow)
	}
	return first
}

// wait returns how long it takes until a slot is free for one more request.
func wait(e *contract.Engine, load Load) time.Duration {
	over := load.Writing + load.Reading + 1 - e.Slots
	if over <= 0 || e.Slots == 0 {
		return 0
	}
	return time.Duration(over) * Hold(e, load) / time.Duration(e.Slots)
}

// Hold returns how long a usual request holds its slot at a load.
func Hold(e *contract.Engine, load Load) time.Duration {
	writing := min(load.Writing+load.Reading, e.Slots)
	step := Step(e, writing)
	// Each slot is read for once in the time in which its answer is written.
	return Read(e, e.UsualPrompt*max(writing, 1), max(writing, 1)) + time.Duration(e.UsualAnswer)*step
}

// Write returns how long so many tokens of an answer take after the first, at a load; an unknown number is the usual one.
func Write(e *contract.Engine, load Load, tokens int) time.Duration {
	if tokens <= 0 {
		tokens = e.UsualAnswer
	}
	writing := max(load.Writing+load.Reading, 1)
	// While a request is written, the others of its slots are read for in turn.
	reading := Read(e, e.UsualPrompt, 1) * time.Duration(writing) * time.Duration(tokens) / time.Duration(max(e.UsualAnswer, 1))
	return time.Duration(tokens)*Step(e, writing) + reading
}
