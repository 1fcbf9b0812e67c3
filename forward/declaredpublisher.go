package forward

import (
	"slices"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
)

// declaredRefresh is how often entries that follow this one are told as of when nothing has changed: one that loses its reader goes on
// from there at the store, whose history is short.
const declaredRefresh = 4 * time.Second

// declaredPublisher computes and encodes changes of what operators declare for all entries that follow this one. The zero value has
// published nothing.
type declaredPublisher struct {
	version int
	// asOf is a position as of which the rest is read; the rest may be newer.
	asOf        discovery.Cursor
	config      *contract.Config
	targets     []discovery.ObservedTarget
	evacuations discovery.Evacuations
	// delta is the encoded difference between the newest version and the one before; whole is the newest configuration, encoded on demand.
	delta, whole link.Encoded
}

// declaredFollower holds what was sent to an entry that follows: the version, 0 for none, the revision that it has, and when.
type declaredFollower struct {
	version  int
	revision contract.Revision
	sentAt   time.Time
}

// update publishes what is declared if it has changed.
func (dp *declaredPublisher) update(v *discovery.View) {
	// A follower goes on from this position without its reader, so it must not be newer than the configuration.
	dp.asOf = v.DeclaredAt()
	cfg, targets := v.Config(), v.Targets()
	evacuations, _ := v.Evacuations()
	if cfg == nil || dp.version > 0 && cfg == dp.config && slices.Equal(targets, dp.targets) && evacuations.Equal(dp.evacuations) {
		return
	}
	previous := dp.config
	dp.version++
	dp.config, dp.targets, dp.evacuations = cfg, targets, evacuations
	msg := dp.message()
	if cfg != previous {
		change := contract.DiffConfigs(previous, cfg)
		msg.Config = &change
	}
	dp.delta, dp.whole = encodeMessage(msg), nil
}

// next returns the message that is due for a follower, nil if there is none, and records it as sent.
func (dp *declaredPublisher) next(f *declaredFollower, now time.Time) link.Encoded {
	behind := dp.version - f.version
	if dp.version == 0 || behind == 0 && now.Sub(f.sentAt) < declaredRefresh {
		return nil
	}
	known, hasConfig := f.version > 0, f.revision == dp.config.Revision
	f.version, f.revision, f.sentAt = dp.version, dp.config.Revision, now
	switch {
	case behind == 1 && known:
		return dp.delta
	case hasConfig:
		return encodeMessage(dp.message())
	case dp.whole == nil:
		msg, change := dp.message(), contract.DiffConfigs(nil, dp.config)
		msg.Config = &change
		dp.whole = encodeMessage(msg)
	}
	return dp.whole
}

// message returns a message with all that is declared but the configuration.
func (dp *declaredPublisher) message() *link.DeclaredChange {
	msg := &link.DeclaredChange{AsOf: dp.asOf, Evacuations: dp.evacuations}
	for _, target := range dp.targets {
		msg.Targets = append(msg.Targets, *link.NewTarget(target))
	}
	return msg
}

// applyDeclaredChange applies what the site's reader relays, and reports whether it fits what this entry has. Evacuations come first, so
// that a configuration is never in force without them.
func (lr *listReader) applyDeclaredChange(msg *link.DeclaredChange) bool {
	v := lr.entry.cfg.View
	v.ObservePeerEvacuations(msg.Evacuations)
	for i := range msg.Targets {
		v.ObserveTarget(msg.Targets[i].Observed())
	}
	return lr.entry.cfg.PeerSource.ApplyDeclaredChange(msg, v.Config())
}
