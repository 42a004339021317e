package replica

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/raft"
)

// Status returns the latest published status.
func (g *Group) Status() Status { return *g.status.Load() }

// AddContacts adds ids of VMs through which this VM tries to find the group.
func (g *Group) AddContacts(vms []string) {
	g.host.post(func() {
		g.cfg.Contacts = append(g.cfg.Contacts, vms...)
		g.node.AddContacts(vms)
	})
}

// Progress returns the replication progress of each member if this VM leads the
// group, else nil. The result is at most one tick (half a heartbeat) old.
func (g *Group) Progress() []MemberProgress {
	if list := g.publishedProgress.Load(); list != nil {
		return *list
	}
	return nil
}

// publishProgress makes the members' progress visible to other goroutines.
func (g *Group) publishProgress() {
	list := g.node.Progress()
	if list == nil && g.publishedProgress.Load() == nil {
		return
	}
	g.publishedProgress.Store(&list)
}

// OnRoleChange registers f to be called whenever role, leader, term or Serving
// changes. f runs on the control goroutine and must not block.
func (g *Group) OnRoleChange(f func(Status)) {
	g.watchMu.Lock()
	defer g.watchMu.Unlock()
	g.watchers = append(g.watchers, f)
}

// publish makes the status visible to other goroutines, logs changes and calls
// the functions registered with OnRoleChange.
func (g *Group) publish(s raft.Status) {
	next := Status{
		Group: g.cfg.Name, Role: roleOf(s.Role), Leader: s.Leader.VM, Term: s.Term, Commit: s.Commit, Applied: s.Applied,
		Self: g.node.Self(), Voters: s.Voters, Learners: s.Learners,
		Confirmed: s.Confirmed,
		Serving:   !g.discarding && s.Applied > 0 && (s.CaughtUp || g.recoveredFromDisk),
	}
	previous := g.status.Load()
	if previous != nil && sameStatus(previous, &next) {
		return
	}
	g.status.Store(&next)
	g.metrics.observe(&next)
	if previous == nil {
		return
	}
	g.logMembership(previous, &next)
	if !roleChanged(previous, &next) {
		return
	}
	g.metrics.roleChanges.Inc()
	g.watchMu.Lock()
	watchers := slices.Clone(g.watchers)
	g.watchMu.Unlock()
	for _, f := range watchers {
		f(next)
	}
	g.host.cfg.Logger.Info().Str("group", g.cfg.Name).Str("role", string(next.Role)).Str("leader", next.Leader).
		Uint64("term", next.Term).Uint64("commit", next.Commit).Bool("serving", next.Serving).Msg("group role changed")
}

func sameStatus(a, b *Status) bool {
	return !roleChanged(a, b) && a.Commit == b.Commit && a.Applied == b.Applied && a.Self == b.Self && a.Confirmed == b.Confirmed &&
		slices.Equal(a.Voters, b.Voters) && slices.Equal(a.Learners, b.Learners)
}

// logMembership logs each voter and learner that was added or removed.
func (g *Group) logMembership(previous, next *Status) {
	g.logMembers("voter added", next.Voters, previous.Voters)
	g.logMembers("voter removed", previous.Voters, next.Voters)
	g.logMembers("learner added", next.Learners, previous.Learners)
	g.logMembers("learner removed", previous.Learners, next.Learners)
}

// logMembers logs event for each member of list that is not in other.
func (g *Group) logMembers(event string, list, other []Member) {
	for _, m := range list {
		if !slices.Contains(other, m) {
			g.host.cfg.Logger.Info().Str("group", g.cfg.Name).Str("member", m.String()).Msg(event)
		}
	}
}

func roleChanged(a, b *Status) bool {
	return a.Role != b.Role || a.Leader != b.Leader || a.Term != b.Term || a.Serving != b.Serving
}

func roleOf(r raft.Role) Role {
	switch r {
	case raft.Leader:
		return RoleLeader
	case raft.Follower:
		return RoleFollower
	case raft.PreCandidate, raft.Candidate:
		return RoleCandidate
	}
	return RoleLearner
}

// ErrTransferFailed is returned by TransferLeadership if this VM still leads after
// two election timeouts.
var ErrTransferFailed = errors.New("no other voter took over the leadership; retry once the voters are connected")

// awaitTransfer waits until this VM is no longer the leader.
func (g *Group) awaitTransfer(ctx context.Context) error {
	// The raft node abandons a transfer after one election timeout; twice that
	// leaves time for the status to be published.
	limit := time.NewTimer(2 * g.host.cfg.Election)
	defer limit.Stop()
	poll := time.NewTicker(g.host.tick)
	defer poll.Stop()
	for g.Status().Role == RoleLeader {
		select {
		case <-poll.C:
		case <-limit.C:
			return ErrTransferFailed
		case <-ctx.Done():
			return fmt.Errorf("transfer leadership: %w", ctx.Err())
		case <-g.host.done:
			return ErrStopped
		}
	}
	return nil
}
