package admission

import (
	"testing"
	"time"
)

// gapIn returns a forecast of servers that all open in a time, of which a tenth falls to this entry.
func gapIn(in time.Duration, servers int) Forecast {
	f := Forecast{SlotTime: time.Second, First: ms(100)}
	for range servers {
		f.Openings = append(f.Openings, Opening{In: in, Slots: 10, Free: 10, Share: 0.1})
	}
	return f
}

// firstTry and secondTry describe requests of a caller that waits six seconds in all.
func firstTry(rank int) Waiting {
	return Waiting{Rank: rank, InTime: start.Add(ms(400)), GivesUp: start.Add(ms(3200)), Deadline: start.Add(ms(6000)), Rest: ms(900)}
}

func secondTry(rank int) Waiting {
	return Waiting{Rank: rank, IsReturn: true, InTime: start, GivesUp: start.Add(ms(3200)), Deadline: start.Add(ms(4000)), Rest: ms(900)}
}

func TestOffer(t *testing.T) {
	short := secondTry(0)
	short.Deadline = start.Add(ms(1500))
	impatient := secondTry(0)
	impatient.GivesUp = start.Add(ms(1000))
	for name, test := range map[string]struct {
		w        Waiting
		f        Forecast
		held     bool
		why      string
		from, to time.Duration
	}{
		"return before an opening":                    {secondTry(0), gapIn(ms(1000), 10), true, WhyReturn, 0, 0},
		"return of a low rank before an opening":      {secondTry(2), gapIn(ms(1000), 10), true, WhyReturn, 0, 0},
		"first try that would still be in time":       {firstTry(0), gapIn(ms(50), 10), true, WhyInTime, 0, 0},
		"first try before an opening":                 {firstTry(0), gapIn(ms(1000), 10), false, WhyComeBack, ms(1000), ms(1100)},
		"first try long before an opening":            {firstTry(0), gapIn(ms(5000), 10), false, WhyComeBack, ms(2000), ms(2000)},
		"return whose answer would not end in time":   {short, gapIn(ms(600), 10), false, WhyTooLate, ms(600), ms(700)},
		"return whose caller gives up before":         {impatient, gapIn(ms(900), 10), false, WhyTooLate, ms(900), ms(1000)},
		"return long before an opening":               {secondTry(0), gapIn(ms(5000), 10), false, WhyTooLate, ms(5000), ms(5100)},
		"nothing is predicted":                        {secondTry(0), Forecast{}, false, WhyUnknown, 0, 0},
		"return before an opening of too few servers": {secondTry(0), gapIn(ms(2500), 0), false, WhyUnknown, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRoom(100)
			got := r.Offer(test.w, test.f, start)
			if held := got.Held != nil; held != test.held || got.Why != test.why {
				t.Errorf("held %v because %q, want %v because %q", held, got.Why, test.held, test.why)
			}
			if !test.held && (got.ComeBack < test.from || got.ComeBack > test.to) {
				t.Errorf("comes back in %s, want %s to %s", got.ComeBack, test.from, test.to)
			}
		})
	}
}

// TestReturnsAreSpread checks that first tries are told to return as the ramp of room has place for them, beside those told before.
func TestReturnsAreSpread(t *testing.T) {
	r, last := NewRoom(100), time.Duration(0)
	for i := range 20 {
		got := r.Offer(firstTry(0), gapIn(ms(1000), 10), start).ComeBack
		if got < last {
			t.Fatalf("the %dth returns in %s, before an earlier one in %s", i, got, last)
		}
		last = got
	}
	// Ten slots and ten a second fall to this entry.
	if want := ms(2000); last < want-ms(100) || last > want {
		t.Errorf("the last returns in %s, want about %s", last, want)
	}
}

// TestHeldOnlyWithRoom checks that no more are held than the predicted room serves within their patience.
func TestHeldOnlyWithRoom(t *testing.T) {
	r, held := NewRoom(1000), 0
	for range 200 {
		if r.Offer(secondTry(1), gapIn(ms(1000), 10), start).Held != nil {
			held++
		}
	}
	// Ten at once, ten a second from then to the last first event in time.
	if held < 20 || held > 32 {
		t.Errorf("%d are held", held)
	}
	if r.Offer(secondTry(0), gapIn(ms(1000), 10), start).Held == nil {
		t.Error("a more urgent one is not held")
	}
}

// TestSlippedPredictions checks that predictions that kept moving away are trusted less, and that held requests that can no longer be
// served in time are refused.
func TestSlippedPredictions(t *testing.T) {
	r := NewRoom(100)
	held := r.Offer(secondTry(0), gapIn(ms(2000), 10), start).Held
	if held == nil {
		t.Fatal("not held")
	}
	now := start
	for range 4 {
		now = now.Add(ms(500))
		if _, refuse := r.Release(gapIn(ms(700), 10), now); len(refuse) > 0 {
			t.Fatalf("refused at %s while it could still be served", now.Sub(start))
		}
	}
	if _, refuse := r.Release(gapIn(ms(2000), 10), now); len(refuse) != 1 || refuse[0] != held {
		t.Errorf("refused %v", refuse)
	}
	later := secondTry(0)
	later.GivesUp, later.Deadline = now.Add(ms(1400)), now.Add(ms(4000))
	if NewRoom(100).Offer(later, gapIn(ms(1000), 10), now).Held == nil {
		t.Error("refused without a prediction that moved away")
	}
	if got := r.Offer(later, gapIn(ms(1000), 10), now); got.Held != nil {
		t.Errorf("held although predictions moved away, margin %s", got.Margin)
	}
}

// TestRelease checks the order and the pace of release.
func TestRelease(t *testing.T) {
	r := NewRoom(100)
	late := secondTry(0)
	late.Deadline = late.Deadline.Add(-ms(500))
	var order []*Held
	for _, w := range []Waiting{secondTry(2), secondTry(0), secondTry(1), late} {
		order = append(order, r.Offer(w, gapIn(ms(500), 10), start).Held)
	}
	if send, _ := r.Release(gapIn(ms(100), 10), start.Add(ms(400))); len(send) > 0 {
		t.Fatalf("%d were sent before a server stood", len(send))
	}
	var sent []*Held
	for i := range 10 {
		send, refuse := r.Release(gapIn(0, 2), start.Add(ms(500+20*i)))
		if len(send) > 1 || len(refuse) > 0 {
			t.Fatalf("%d were sent at once, %d refused", len(send), len(refuse))
		}
		sent = append(sent, send...)
	}
	// Two of twenty free slots fall to this entry in the time in which reports show what the others took.
	if len(sent) != 2 || sent[0] != order[3] || sent[1] != order[1] {
		t.Errorf("%d were sent: not the most urgent first, of these the soonest deadline", len(sent))
	}
	r.Restore(sent[1])
	if r.Remove(order[2]); r.Len() != 2 {
		t.Errorf("%d are held, want 2", r.Len())
	}
}

// TestFirstTriesGoFirst checks that free slots that first tries take are not given to held requests.
func TestFirstTriesGoFirst(t *testing.T) {
	r := NewRoom(100)
	const tries = 1000
	for i := range tries {
		r.Arrive(start.Add(ms(10 * (i - tries))))
	}
	if r.Offer(secondTry(0), gapIn(ms(100), 200), start).Held == nil {
		t.Fatal("not held")
	}
	// Of 200 servers, the 90 that stand at first take fewer requests than first tries that come.
	few := gapIn(ms(200), 200)
	for i := range 90 {
		few.Openings[i].In = 0
	}
	for i := range 5 {
		if send, refuse := r.Release(few, start.Add(ms(20*i))); len(send)+len(refuse) > 0 {
			t.Fatal("a held request was sent before first tries that come faster than slots are free")
		}
	}
	sent := 0
	for i := range 20 {
		send, _ := r.Release(gapIn(0, 200), start.Add(ms(400+20*i)))
		sent += len(send)
	}
	if sent != 1 {
		t.Errorf("%d were sent while servers stand free, want the one that was held", sent)
	}
}

// TestFullRoom checks that a full room takes only more urgent requests, in place of the least urgent one.
func TestFullRoom(t *testing.T) {
	r, f := NewRoom(2), gapIn(ms(500), 10)
	r.Offer(secondTry(1), f, start)
	least := r.Offer(secondTry(2), f, start).Held
	if got := r.Offer(secondTry(2), f, start); got.Held != nil || got.Why != WhyFull {
		t.Errorf("held %v because %q by a full room", got.Held != nil, got.Why)
	}
	if got := r.Offer(secondTry(0), f, start); got.Held == nil || got.GivesWay != least {
		t.Errorf("a more urgent one: held %v, %v gives way", got.Held != nil, got.GivesWay)
	}
}

// TestSmallShareIsReleased checks that an entry to which less than one free slot falls sends a held request once it has waited for it.
func TestSmallShareIsReleased(t *testing.T) {
	r, sent := NewRoom(10), 0
	if r.Offer(secondTry(0), gapIn(ms(100), 10), start).Held == nil {
		t.Fatal("not held")
	}
	// Half a slot falls to it, and half a request per second.
	one := Forecast{SlotTime: time.Second, First: ms(100), Openings: []Opening{{Slots: 8, Free: 8, Share: 0.0625}}}
	for now := time.Duration(0); now < ms(1200); now += ms(20) {
		send, refuse := r.Release(one, start.Add(now))
		if sent += len(send); sent > 0 && now < ms(900) || len(refuse) > 0 {
			t.Fatalf("%d were sent and %d refused after %s", sent, len(refuse), now)
		}
	}
	if sent != 1 {
		t.Errorf("%d were sent in 1.2 s", sent)
	}
}
