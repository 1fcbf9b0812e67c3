package fill

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
)

const (
	// opDial is the name that package net gives to opening a connection.
	opDial = "dial"
	// maxCorruptPieces is how many pieces in a row may mismatch before the manifest is fetched again.
	maxCorruptPieces = 3
)

// downloadPiece fetches one piece from the origin.
func (b *Box) downloadPiece(u *update, piece int) {
	ctx, cancel := context.WithTimeout(u.ctx, originTimeout)
	defer cancel()
	origin := b.origin()
	if origin == nil {
		b.mu.Lock()
		u.feed.DownloadFailed(piece)
		b.mu.Unlock()
		return
	}
	data, err := b.cfg.Origin.Piece(ctx, origin.Origin, u.model, u.version, piece)
	if err == nil {
		err = b.acceptPiece(u, piece, "", 0, data)
	}
	if err == nil {
		piecesFromOrigin.Inc()
		return
	}
	if u.ctx.Err() == nil {
		b.downloadFailed(u, piece, err)
	}
}

// downloadFailed records why a download failed; the feed schedules a retry, later if the origin is unreachable.
func (b *Box) downloadFailed(u *update, piece int, err error) {
	b.log.WithField("piece", piece).WithField("cause", err.Error()).Warn("fill: a piece was not drawn")
	if originUnreachable(err) {
		b.mu.Lock()
		u.feed.OriginUnreachable(piece, clock.Now())
		b.mu.Unlock()
		return
	}
	time.Sleep(pollInterval)
	b.mu.Lock()
	defer b.mu.Unlock()
	u.feed.DownloadFailed(piece)
	if errors.As(err, new(*MismatchError)) {
		b.countCorruptPiece(u)
	}
	b.wake()
}

// originUnreachable reports whether the origin could not be dialled; failing to stage a piece does not count.
func originUnreachable(err error) bool {
	var op *net.OpError
	return !errors.As(err, new(*NotStagedError)) && errors.As(err, &op) && op.Op == opDial
}

// countCorruptPiece counts a mismatching piece from the origin; after several in a row the manifest is discarded, since it
// may be wrong itself. mu is held.
func (b *Box) countCorruptPiece(u *update) {
	if u.corruptPieces++; u.corruptPieces < maxCorruptPieces {
		return
	}
	u.cancel()
	if b.active == u {
		b.active = nil
	}
	b.log.WithField("version", int64(u.version)).Warn("fill: the manifest is in doubt and drawn again")
}

// acceptPiece verifies and stores a piece and announces it to other boxes; waited is how long it was queued at its sender.
func (b *Box) acceptPiece(u *update, piece int, from string, waited time.Duration, data []byte) error {
	b.mu.Lock()
	m := u.manifest
	b.mu.Unlock()
	if m == nil || !m.Matches(piece, data) {
		piecesCorrupt.Inc()
		return &MismatchError{Piece: piece}
	}
	if isNew, err := b.storePiece(u, piece, data); err != nil || !isNew {
		return err
	}
	b.mu.Lock()
	if u.feed == nil {
		b.mu.Unlock()
		return nil
	}
	asked := u.feed.Received(piece, from, waited, clock.Now())
	complete, downloader := u.feed.Complete(), u.feed.IsDownloader(piece)
	u.corruptPieces = 0
	b.mu.Unlock()
	b.links.announcePiece(u, piece, asked, complete, downloader || from == "")
	if complete {
		b.log.WithFields(log.Fields{
			"version": int64(u.version), "ms": clock.Since(u.startedAt).Milliseconds(),
			"site": piecesFromSite.Get(), "far": piecesFromOtherSites.Get(), "drawn": piecesFromOrigin.Get(), "bad": piecesCorrupt.Get(), "twice": piecesDuplicate.Get(),
		}).Info("fill: all pieces are held")
	}
	b.wake()
	return nil
}

// storePiece writes a piece to the server, or buffers it while its update may not write; isNew is false when the piece is held
// already or no longer wanted.
func (b *Box) storePiece(u *update, piece int, data []byte) (isNew bool, err error) {
	b.mu.Lock()
	wanted := b.active == u && u.feed != nil
	if wanted && u.feed.Holds(piece) {
		piecesDuplicate.Inc()
		wanted = false
	}
	write := wanted && b.startWrite(u)
	if wanted && !write {
		if u.buffered == nil {
			u.buffered = make(map[int][]byte)
		}
		u.buffered[piece] = data
	}
	b.mu.Unlock()
	if !write {
		return wanted, nil
	}
	if err := b.writePiece(u, piece, data); err != nil {
		return false, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isCurrent(u), nil
}

// startWrite reports whether an update may write a piece to the server now; the write ends with writePiece. mu is held.
func (b *Box) startWrite(u *update) bool {
	return b.active == u && b.pending == nil && b.staging.startWrite(u)
}

// writePiece writes a piece to the server after startWrite. The write is not cancelled with its update: an abandoned one could be
// carried out after the next update has written the same piece.
func (b *Box) writePiece(u *update, piece int, data []byte) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(u.ctx), stageTimeout)
	defer cancel()
	b.piecesWritten.Add(1)
	piecesStaged.Inc()
	err := b.cfg.Engine.StagePiece(ctx, u.model, piece, data)
	b.mu.Lock()
	b.staging.endWrite(mayBeCarriedOut(err))
	b.mu.Unlock()
	if err == nil {
		return nil
	}
	b.log.WithField("piece", piece).WithField("cause", err.Error()).Warn("fill: a piece was not staged")
	return &NotStagedError{Piece: piece, Err: err}
}

// mayBeCarriedOut reports whether the server may still carry out a call that ended with an error.
func mayBeCarriedOut(err error) bool {
	var op *net.OpError
	answered := errors.As(err, new(*RefusedError)) || errors.As(err, new(*OtherServerError))
	return err != nil && !answered && !(errors.As(err, &op) && op.Op == opDial)
}

// readPiece returns a piece from the buffer or from the server.
func (b *Box) readPiece(ctx context.Context, u *update, piece int) ([]byte, error) {
	b.mu.Lock()
	data := u.buffered[piece]
	b.mu.Unlock()
	if data != nil {
		return data, nil
	}
	return b.cfg.Engine.ReadPiece(ctx, u.model, piece)
}
