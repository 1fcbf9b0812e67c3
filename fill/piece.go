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
	// opDial is how package net names the opening of a connection.
	opDial = "dial"
	// badManifest is how many drawn pieces in a row may not fit before the manifest itself is drawn again.
	badManifest = 3
)

// draw fetches one piece from the origin.
func (b *Box) draw(f *filling, piece int) {
	ctx, cancel := context.WithTimeout(f.ctx, originTime)
	defer cancel()
	origin := b.origin()
	if origin == nil {
		b.mu.Lock()
		f.feed.DrawFailed(piece)
		b.mu.Unlock()
		return
	}
	data, err := b.cfg.Origin.Piece(ctx, origin.Origin, f.model, f.version, piece)
	if err == nil {
		err = b.take(f, piece, "", 0, data)
	}
	if err == nil {
		piecesDrawn.Inc()
		return
	}
	if f.ctx.Err() == nil {
		b.drawFailed(f, piece, err)
	}
}

// drawFailed notes why a piece was not drawn: the feed draws it again, in its schedule when the origin was not reached.
func (b *Box) drawFailed(f *filling, piece int, err error) {
	b.log.WithField("piece", piece).WithField("cause", err.Error()).Warn("fill: a piece was not drawn")
	if unreached(err) {
		b.mu.Lock()
		f.feed.DrawUnreached(piece, clock.Now())
		b.mu.Unlock()
		return
	}
	time.Sleep(followEvery)
	b.mu.Lock()
	defer b.mu.Unlock()
	f.feed.DrawFailed(piece)
	if errors.As(err, new(*MisfitError)) {
		b.misfit(f)
	}
	b.wake()
}

// unreached reports whether the origin could not be asked at all; a server that takes no piece says nothing of it.
func unreached(err error) bool {
	var op *net.OpError
	return !errors.As(err, new(*NotStagedError)) && errors.As(err, &op) && op.Op == opDial
}

// misfit counts a drawn piece that does not fit; after several in a row the manifest itself is in doubt. mu is held.
func (b *Box) misfit(f *filling) {
	if f.misfits++; f.misfits < badManifest {
		return
	}
	f.cancel()
	if b.fill == f {
		b.fill = nil
	}
	b.log.WithField("version", int64(f.version)).Warn("fill: the manifest is in doubt and drawn again")
}

// take verifies a piece, keeps it and tells the boxes that wait for it; waited is how long it waited at its giver.
func (b *Box) take(f *filling, piece int, from string, waited time.Duration, data []byte) error {
	b.mu.Lock()
	m := f.manifest
	b.mu.Unlock()
	if m == nil || !m.Fits(piece, data) {
		piecesBad.Inc()
		return &MisfitError{Piece: piece}
	}
	if news, err := b.keep(f, piece, data); err != nil || !news {
		return err
	}
	b.mu.Lock()
	if f.feed == nil {
		b.mu.Unlock()
		return nil
	}
	asked := f.feed.Got(piece, from, waited, clock.Now())
	complete, drawer := f.feed.Complete(), f.feed.Drawer(piece)
	f.misfits = 0
	b.mu.Unlock()
	b.links.got(f, piece, asked, complete, drawer || from == "")
	if complete {
		b.log.WithFields(log.Fields{
			"version": int64(f.version), "ms": clock.Since(f.began).Milliseconds(),
			"site": piecesNear.Get(), "far": piecesFar.Get(), "drawn": piecesDrawn.Get(), "bad": piecesBad.Get(), "twice": piecesTwice.Get(),
		}).Info("fill: all pieces are held")
	}
	b.wake()
	return nil
}

// keep stages a piece at the server, or holds it in memory while the server's place for pieces is taken; news is false
// when the piece is held already.
func (b *Box) keep(f *filling, piece int, data []byte) (news bool, err error) {
	b.mu.Lock()
	current := b.fill == f && f.feed != nil
	if current && f.feed.Holds(piece) {
		piecesTwice.Inc()
		current = false
	}
	hold := b.pending != nil
	if current && hold {
		if f.memory == nil {
			f.memory = make(map[int][]byte)
		}
		f.memory[piece] = data
	}
	b.mu.Unlock()
	if !current || hold {
		return current, nil
	}
	ctx, cancel := context.WithTimeout(f.ctx, stageTime)
	defer cancel()
	if err := b.cfg.Engine.Stage(ctx, f.model, piece, data); err != nil {
		if f.ctx.Err() == nil {
			b.log.WithField("piece", piece).WithField("cause", err.Error()).Warn("fill: a piece was not staged")
		}
		return false, &NotStagedError{Piece: piece, Err: err}
	}
	return true, nil
}

// staged returns a piece from memory or from the server.
func (b *Box) staged(ctx context.Context, f *filling, piece int) ([]byte, error) {
	b.mu.Lock()
	data := f.memory[piece]
	b.mu.Unlock()
	if data != nil {
		return data, nil
	}
	return b.cfg.Engine.Staged(ctx, f.model, piece)
}
