package swarm

import "time"

// DownloadFailed records that a piece's download from the origin failed.
func (f *Feed) DownloadFailed(piece int) { delete(f.downloading, piece) }

// OriginUnreachable records that the origin was unreachable for a piece. The piece is retried in the next round of those that
// nobody holds, so that the returning origin is not asked for all of them at once; a backup retries later than the lower ranks,
// so that it has heard by then whether one of them succeeded.
func (f *Feed) OriginUnreachable(piece int, now time.Time) {
	delete(f.downloading, piece)
	f.retryAt[piece] = f.retrySlot(piece, now.Add(1)).Add(time.Duration(max(f.downloadRank(piece), 0)) * f.params.RankDelay)
	f.originDown = true
}

// retrySlot returns when a piece that nobody is known to hold is next scheduled, at or after from. While the origin is
// unreachable all boxes know the same missing pieces, so that they follow one schedule.
func (f *Feed) retrySlot(piece int, from time.Time) time.Time {
	index, missing := 0, 0
	for other, seen := range f.firstSeen {
		if f.have[other] || !seen.IsZero() {
			continue
		}
		if other < piece {
			index++
		}
		missing++
	}
	round := max(time.Duration(missing)*f.params.DownloadInterval, f.params.RankDelay)
	slot := f.started.Add(f.params.StartDelay + round*time.Duration(index)/time.Duration(max(missing, 1)))
	if slot.Before(from) {
		slot = slot.Add((from.Sub(slot) + round - 1) / round * round)
	}
	return slot
}

// slot returns when a piece is next scheduled for download at or after from; the schedule repeats in rounds.
func (f *Feed) slot(piece int, from time.Time) time.Time {
	round := max(time.Duration(len(f.have))*f.params.DownloadInterval, f.params.RankDelay)
	slot := f.started.Add(f.params.StartDelay + time.Duration(piece)*f.params.DownloadInterval)
	if slot.Before(from) {
		slot = slot.Add((from.Sub(slot) + round - 1) / round * round)
	}
	return slot
}

// backupDue returns when a backup of a rank downloads a piece, the earlier of two times:
//   - once the piece is overdue by more than the mean lag, plus RankDelay per rank: while the schedule keeps the origin's link busy,
//     a further download makes all others late;
//   - after the schedule's end and the latest piece that became known, plus, per rank, the link's time for the pieces that no box holds,
//     but at least StartDelay, in which a box hears of them.
func (f *Feed) backupDue(piece, rank int) time.Time {
	during := f.expectedBy(piece).Add(f.meanLag + time.Duration(rank)*f.params.RankDelay)
	perRank := max(time.Duration(f.Unheld())*f.params.DownloadInterval, f.params.StartDelay)
	return earlier(during, later(f.scheduleEnd(), f.lastSeen).Add(time.Duration(rank)*perRank))
}

// scheduleEnd returns when the origin's link should have carried all pieces: with the last slot, or once the backlog is
// downloaded after the origin came back.
func (f *Feed) scheduleEnd() time.Time {
	end := f.slot(len(f.have)-1, f.started).Add(f.params.DownloadInterval)
	if f.originUpAt.IsZero() {
		return end
	}
	return later(end, f.originUpAt.Add(time.Duration(f.backlog)*f.params.DownloadInterval))
}

// observeSchedule moves the schedule's start back to the latest time that agrees with the pieces held now, if this box began more than
// RankDelay after it: a box that restarts would otherwise leave its downloads until the others' schedule is over.
func (f *Feed) observeSchedule(now time.Time) {
	begun := now.Add(-f.params.StartDelay - time.Duration(f.passedSlots())*f.params.DownloadInterval)
	if f.beganLate && begun.Before(f.started) || f.started.Sub(begun) > f.params.RankDelay {
		f.started, f.beganLate = begun, true
	}
}

// passedSlots returns the latest slot that has passed, by the pieces known to be held. Most of the pieces before it must be held, so
// that single pieces of boxes that ran ahead do not count.
func (f *Feed) passedSlots() int {
	passed, lacking := 0, 0
	for piece, seen := range f.firstSeen {
		if !f.have[piece] && seen.IsZero() {
			lacking++
			continue
		}
		if lacking*minSeenPart <= piece {
			passed = piece
		}
	}
	return passed
}

// expectedBy returns when the downloader of a piece should have it: in its slot, or once the backlog is downloaded after the
// origin came back.
func (f *Feed) expectedBy(piece int) time.Time {
	if slot := f.slot(piece, f.started); f.originUpAt.IsZero() || slot.After(f.originUpAt) {
		return slot
	}
	return f.originUpAt.Add(time.Duration(f.backlog) * f.params.DownloadInterval)
}

// Unheld returns how many pieces no box is known to hold.
func (f *Feed) Unheld() int {
	unheld := 0
	for piece, seen := range f.firstSeen {
		if !f.have[piece] && seen.IsZero() {
			unheld++
		}
	}
	return unheld
}

// recordSeen records that some box holds a piece, and updates the mean lag.
func (f *Feed) recordSeen(piece int, now time.Time) {
	if !f.firstSeen[piece].IsZero() {
		return
	}
	f.firstSeen[piece], f.lastSeen = now, now
	f.observeSchedule(now)
	lag := max(now.Sub(f.slot(piece, f.originUpAt)), 0)
	f.meanLag += (min(lag, 2*f.meanLag) - f.meanLag) / lagSmoothing
}

// IsDownloader reports whether this box is the piece's downloader, so that others wait for its announcement.
func (f *Feed) IsDownloader(piece int) bool { return f.ranks[f.order.Group(piece)][0] == 0 }

// downloadRank returns this box's rank for downloading a piece, not counting the boxes that are gone; -1 for a box that is not a
// member. A box that has lost at least as many links as it has left may be cut off itself, so it counts all boxes.
func (f *Feed) downloadRank(piece int) int {
	group := f.order.Group(piece)
	rank := f.ranks[group][0]
	if len(f.gone) >= len(f.peers) || rank >= maxBackupRank {
		return rank
	}
	for _, ahead := range f.order.ahead(group, rank) {
		if f.gone[ahead.ID] {
			rank--
		}
	}
	return rank
}

// nextDownloads chooses pieces to download: this box's own by the schedule, those of earlier ranks when they are overdue.
func (f *Feed) nextDownloads(now time.Time) []Action {
	var actions []Action
	for piece := range f.have {
		if len(f.downloading) >= min(f.params.MaxDownloads, f.window) {
			break
		}
		if !f.have[piece] && !f.downloading[piece] && f.mayDownload(piece, now) {
			f.downloading[piece] = true
			actions = append(actions, Action{Chunk: piece, Download: true, Rank: f.downloadRank(piece)})
		}
	}
	return actions
}

func (f *Feed) mayDownload(piece int, now time.Time) bool {
	rank := f.downloadRank(piece)
	switch {
	case rank < 0 || rank >= MaxPermits || now.Before(f.retryAt[piece]):
		return false
	case f.available(piece, now):
		return f.soleHolderStalled(piece, rank, now)
	case len(f.order.members) > 1 && now.Before(f.joined.Add(f.params.StartDelay)):
		return false
	case rank == 0:
		return !now.Before(f.slot(piece, f.started))
	default:
		// Backups wait until the piece is overdue, and do not retry while the origin is unreachable: its downloader does.
		return !f.originDown && !now.Before(f.backupDue(piece, rank)) && !f.fleetElsewhere()
	}
}

// soleHolderStalled reports whether a piece has long been held by one peer only and the origin's link is free. The holder may
// have died, which shows only later. A box whose own link is congested leaves such pieces to others.
func (f *Feed) soleHolderStalled(piece, rank int, now time.Time) bool {
	if rank == 0 || f.originDown || f.meanLatency > lowLatency || now.Before(f.slot(len(f.have)-1, f.started).Add(f.meanLag)) {
		return false
	}
	holders := 0
	for _, p := range f.peers {
		if p.have[piece] {
			holders++
		}
	}
	return holders == 1 && now.Sub(f.firstSeen[piece]) >= time.Duration(rank+1)*f.params.RankDelay
}

// available reports whether a peer that is not paused holds a piece.
func (f *Feed) available(piece int, now time.Time) bool {
	for _, p := range f.peers {
		if p.have[piece] && !now.Before(p.pausedUntil) {
			return true
		}
	}
	return false
}
