package engine

import (
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
)

var testEngine = &contract.Engine{
	Slots: 16, Stride: 5, Chunk: 2048, Step: 8870 * time.Microsecond, PerSequence: 39 * time.Microsecond,
	PerContext: 23 * time.Microsecond, ReadRate: 19100, PerPairs: 1470 * time.Microsecond, UsualPrompt: 977, UsualAnswer: 94,
}

func TestTimeToFirstEvent(t *testing.T) {
	for name, test := range map[string]struct {
		less, more Load
		lessPrompt int
		morePrompt int
	}{
		"longer prompt":     {Load{}, Load{}, 100, 3000},
		"pending prefill":   {Load{}, Load{Prefilling: 3, PrefillTokens: 3000}, 900, 900},
		"decoding requests": {Load{PrefillTokens: 2000}, Load{PrefillTokens: 2000, Decoding: 10}, 900, 900},
		"no free slot":      {Load{Decoding: 15}, Load{Decoding: 16}, 900, 900},
		"overtaken":         {Load{Decoding: 16, Prefilling: 4}, Load{Decoding: 16, Prefilling: 4, Overtaken: 0.5}, 900, 900},
		"overtaken more":    {Load{Decoding: 16, Overtaken: 0.5}, Load{Decoding: 16, Overtaken: 0.7}, 900, 900},
		"slow engine":       {Load{Decoding: 4}, Load{Decoding: 4, Slowdown: 3}, 900, 900},
	} {
		t.Run(name, func(t *testing.T) {
			less, more := TimeToFirstEvent(testEngine, test.less, test.lessPrompt), TimeToFirstEvent(testEngine, test.more, test.morePrompt)
			if less <= 0 || more <= less {
				t.Errorf("%s is not less than %s", less, more)
			}
		})
	}
}

func TestTimeToFirstEventOfIdleEngine(t *testing.T) {
	// Prefill and one stride of decode steps, without waiting.
	if first := TimeToFirstEvent(testEngine, Load{}, 977); first < 90*time.Millisecond || first > 110*time.Millisecond {
		t.Errorf("an idle engine takes %s for its first event", first)
	}
}

func TestMissingParameters(t *testing.T) {
	if first := TimeToFirstEvent(&contract.Engine{}, Load{Decoding: 3, Prefilling: 2, PrefillTokens: 100}, 100); first < 0 {
		t.Errorf("an engine without parameters takes %s", first)
	}
}

// TestOvertakenWait checks that requests to come lengthen only the wait for a slot, and not without bound.
func TestOvertakenWait(t *testing.T) {
	for name, test := range map[string]struct{ load, same Load }{
		"free slot":         {Load{Decoding: 15, Overtaken: 0.9}, Load{Decoding: 15}},
		"overtaken by none": {Load{Decoding: 20, Overtaken: 0}, Load{Decoding: 20}},
		"overtaken by all":  {Load{Decoding: 20, Overtaken: 1}, Load{Decoding: 20, Overtaken: 1 - leastOwnSlots}},
	} {
		t.Run(name, func(t *testing.T) {
			if got, want := TimeToFirstEvent(testEngine, test.load, 900), TimeToFirstEvent(testEngine, test.same, 900); got != want {
				t.Errorf("%s, want %s", got, want)
			}
		})
	}
}

func TestDecodeTimeGrows(t *testing.T) {
	for name, test := range map[string]struct {
		load   Load
		tokens int
	}{
		"more tokens":       {Load{Decoding: 4}, 200},
		"decoding requests": {Load{Decoding: 12}, 94},
		"slow engine":       {Load{Decoding: 4, Slowdown: 2.5}, 94},
	} {
		t.Run(name, func(t *testing.T) {
			less, more := DecodeTime(testEngine, Load{Decoding: 4}, 94), DecodeTime(testEngine, test.load, test.tokens)
			if less <= 0 || more <= less {
				t.Errorf("%s is not less than %s", less, more)
			}
		})
	}
}
