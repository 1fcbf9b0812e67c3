package fill

// staging tracks who uses the server's staging area, which holds one piece of each number and is read when the server takes a load
// order. It is written by one update at a time, and by none while an order is prepared and sent. It is guarded by the box's mutex.
type staging struct {
	// owner is the update whose pieces were written or verified last.
	owner *update
	// writes counts the writes in progress, which are the owner's.
	writes int
	sealed bool
}

// startWrite reports whether an update may write a piece now; if so, the caller calls endWrite once the write has ended.
func (s *staging) startWrite(u *update) bool {
	if s.sealed || s.writes > 0 && s.owner != u {
		return false
	}
	s.owner = u
	s.writes++
	return true
}

func (s *staging) endWrite() { s.writes-- }

// seal keeps all pieces as they are while an update is verified and ordered, until unseal is called; it fails while pieces are written.
func (s *staging) seal(u *update) bool {
	if s.sealed || s.writes > 0 {
		return false
	}
	s.owner, s.sealed = u, true
	return true
}

func (s *staging) unseal() { s.sealed = false }
