package forward

import (
	"context"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/admission"
	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
	"github.com/coralstair/coralstair/link"
)

// Where ranks differ, teams share the room for requests of a rank in a shortage. Entries of a site tell each other what teams used, as each
// one sees only a part of their requests.

// teamsInterval is the interval at which an entry that refuses first tries tells the others of its site what teams used: a quarter of the
// window over which work is counted.
const teamsInterval = 500 * time.Millisecond

// admitShared reports whether admission control accepts the request, which would wait queueDelay, given what its team uses; mu is held.
func (c *call) admitShared(queueDelay time.Duration) bool {
	policy := c.entry.admission.Of(c.pool())
	if !c.ranked || c.team == nil {
		return policy.Admit(c.admissionRequest(), c.sinceFirst, queueDelay)
	}
	now, room := clock.Now(), admission.Room{Service: c.pool(), Rank: c.rank}
	teams := c.entry.rooms.Of(room)
	ask := admission.Ask{
		Team: c.team.Name, Work: requestWork(c.service.Engine, c.info.PromptTokens, c.info.answerTokens()), Retry: c.sinceFirst > 0,
	}
	// A request that is decided on again asks for no more room.
	if c.share == nil {
		teams.Record(ask, now)
	}
	share := teams.Share(ask.Team, now)
	c.share = &share
	var admitted, fits bool
	if share.Bounded {
		admitted, fits = policy.AdmitBounded(c.admissionRequest(), c.sinceFirst, queueDelay)
	} else {
		admitted = policy.Admit(c.admissionRequest(), c.sinceFirst, queueDelay)
		fits = admitted
	}
	teams.Decided(ask, admitted, fits, now)
	teamWork.add(ask, admitted)
	c.entry.logTeamChanges(room, teams, now)
	return admitted
}

// requestWork returns the engine's time that a request takes: its prompt is read while nothing else runs, and each step writes a token of
// every slot. An unknown number of tokens counts as the usual one.
func requestWork(e *contract.Engine, promptTokens, answerTokens int) time.Duration {
	if promptTokens <= 0 {
		promptTokens = e.UsualPrompt
	}
	if answerTokens <= 0 {
		answerTokens = e.UsualAnswer
	}
	return engine.PrefillTime(e, promptTokens, 1) + time.Duration(answerTokens)*e.Step/time.Duration(max(e.Slots, 1))
}

// logTeamChanges logs the teams of a room that began or ceased to be bounded, and reports whether some team is bounded.
func (e *Entry) logTeamChanges(room admission.Room, teams *admission.Teams, now time.Time) (bounded bool) {
	changes, bounded := teams.Changes(now)
	for _, change := range changes {
		fields := log.Fields{
			"service": room.Service, "rank": room.Rank, "team": change.Team, "asked_ms": change.Asked.Milliseconds(),
			"used_ms": change.Admitted.Milliseconds(), "teams": change.Teams, "largest": strings.Join(change.Largest, " "),
		}
		if change.Share < admission.Unlimited {
			fields["share_ms"] = change.Share.Milliseconds()
		}
		if change.Bounded {
			e.log.WithFields(fields).Info("forward: a team is bounded to its share")
		} else {
			e.log.WithFields(fields).Info("forward: a team is no longer bounded to its share")
		}
	}
	return bounded
}

// notifyTeams tells the other entries of the site what teams used here. It returns when to do so again, nil once no first tries are
// refused and no team is bounded.
func (pn *peerNotifier) notifyTeams(ctx context.Context) <-chan time.Time {
	msg, bounded := pn.entry.teamUses(clock.Now())
	if len(msg.Rooms) > 0 {
		for _, host := range pn.entry.reader.peerHosts() {
			pn.notifyPeer(ctx, host, msg)
		}
	}
	if len(msg.Rooms) == 0 && !bounded {
		return nil
	}
	return time.After(teamsInterval)
}

// teamUses returns what teams used here, and whether some team is bounded; it logs the changes.
func (e *Entry) teamUses(now time.Time) (msg *link.TeamUses, bounded bool) {
	msg = &link.TeamUses{Entry: e.cfg.Machine.ID}
	for room, teams := range e.rooms.All() {
		bounded = e.logTeamChanges(room, teams, now) || bounded
		uses := teams.Use(now)
		if len(uses) == 0 {
			continue
		}
		told := link.RoomUse{Service: room.Service, Rank: room.Rank}
		for team, use := range uses {
			told.Teams = append(told.Teams, link.TeamUse{Team: team, Asked: use.Asked, Admitted: use.Admitted})
		}
		msg.Rooms = append(msg.Rooms, told)
	}
	return msg, bounded
}

// hearTeams applies what teams used at another entry.
func (e *Entry) hearTeams(msg *link.TeamUses) {
	now := clock.Now()
	for _, told := range msg.Rooms {
		if told.Rank < 0 || len(told.Teams) > admission.MaxToldTeams {
			continue
		}
		uses := make(map[string]admission.TeamUse, len(told.Teams))
		for _, use := range told.Teams {
			uses[use.Team] = admission.TeamUse{Asked: max(use.Asked, 0), Admitted: max(use.Admitted, 0)}
		}
		e.rooms.Of(admission.Room{Service: told.Service, Rank: told.Rank}).Hear(msg.Entry, uses, now.Add(-max(told.Age, 0)))
	}
}
