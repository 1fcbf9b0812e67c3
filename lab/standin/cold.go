package standin

import "time"

// coldNoticeDelay is how long after a server turned cold its row shows it.
const coldNoticeDelay = 300 * time.Millisecond

// ColdSpan is a time in which a server was cold.
type ColdSpan struct {
	Server   string
	From, To time.Time
}

// ColdSpans returns the times in which servers were cold.
func (rs *Recorder) ColdSpans() []ColdSpan {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return append([]ColdSpan(nil), rs.coldSpans...)
}

func (rs *Recorder) recordCold(span ColdSpan) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.coldSpans = append(rs.coldSpans, span)
}

// TurnCold makes the server cold for a time; its row shows it a little later.
func (s *Server) TurnCold(d time.Duration) {
	s.mu.Lock()
	s.turnCold(d)
	s.mu.Unlock()
	time.AfterFunc(coldNoticeDelay, s.WriteHeartbeat)
}

// turnCold makes the server cold for a time; the caller holds mu.
func (s *Server) turnCold(d time.Duration) {
	if d <= 0 {
		return
	}
	now := time.Now()
	s.coldUntil = now.Add(d)
	s.Recorder.recordCold(ColdSpan{Server: s.id, From: now, To: s.coldUntil})
}

// coldLeftMs returns for how much longer the server is cold; the caller holds mu.
func (s *Server) coldLeftMs() int64 { return max(time.Until(s.coldUntil).Milliseconds(), 0) }
