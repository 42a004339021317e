// Package replica hosts the replicated state machines of a process.
//
// A Host owns one control goroutine. It steps the raft group members, applies
// committed entries and publishes the status of each group. Logs are written
// and synced by one goroutine for each group, which reports back; a peer or a
// proposer is answered only after the sync.
package replica

import (
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/boottime"
	"github.com/lentilyard/lentilyard/internal/raft"
	"github.com/lentilyard/lentilyard/internal/wal"
)

// StateMachine is the replicated state of a group. All methods are called on
// the control goroutine of the host.
type StateMachine interface {
	// Apply executes one committed entry. It must be deterministic.
	Apply(index, term uint64, entry []byte) any
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Messenger carries messages between VMs.
type Messenger interface {
	// Send is best effort: it does not block, and messages may be lost,
	// repeated or reordered. It does not keep payload after it returns.
	Send(to string, channel string, payload []byte)
	// Handle sets the receiver of a channel. from is the authenticated VM id.
	Handle(channel string, f func(from string, payload []byte))
}

// HostConfig configures a Host.
type HostConfig struct {
	// ID is the VM id.
	ID string
	// DataFolder holds the logs; "" keeps state in memory.
	DataFolder string
	Messenger  Messenger
	// Heartbeat is the interval of heartbeats, default 50 ms. Election is the
	// shortest election timeout, default 300 ms; the longest is twice that. It
	// must be more than 4 heartbeats.
	Heartbeat, Election time.Duration
	// SnapshotEvery is the number of entries between snapshots, default 10000.
	SnapshotEvery uint64
	Logger        zerolog.Logger
	// Clock returns the time since some fixed moment, suspensions of the VM included. Default boottime.Now.
	Clock func() time.Duration
	// OnFatal is called once when the host stops by itself, which it does when
	// a disk fails or an invariant does not hold.
	OnFatal func(error)

	// openFS replaces wal.OpenFolder in tests of failing disks.
	openFS func(folder string) (wal.FS, error)
}

// GroupConfig configures a Group.
type GroupConfig struct {
	// Name consists of lower-case letters, digits, "-" and ".".
	Name string
	// Voters are the VM ids that are to vote. When the list changes, the leader
	// adds VMs that are new in it, and removes those that are missing in it and
	// in Learners once they are stopped.
	Voters []string
	// Learners are the VM ids that follow the log without a vote.
	Learners []string
	Machine  StateMachine
	// Open lets VMs join that are not listed. Voters then bootstrap the group at
	// its very first start; at any later start Voters is empty.
	Open bool
	// Contacts are VM ids to ask for the group, beside its known members.
	Contacts []string
	// MinVoters is the number of voters below which an open group removes no silent one.
	MinVoters int
}

// Defaults of HostConfig.
const (
	DefaultHeartbeat     = 50 * time.Millisecond
	DefaultElection      = 300 * time.Millisecond
	DefaultSnapshotEvery = 10000
)

// MaxEntryBytes is the largest entry that Propose accepts.
const MaxEntryBytes = 4 << 20

// Role of this VM in a group.
type Role string

// Roles. A VM that is not a member yet is a learner.
const (
	RoleLearner   Role = "learner"
	RoleFollower  Role = "follower"
	RoleCandidate Role = "candidate"
	RoleLeader    Role = "leader"
)

// Member is one incarnation of a VM.
type Member = raft.ID

// MemberProgress is what the leader knows of a member.
type MemberProgress = raft.MemberProgress

// Status is the state of a group as this VM knows it. The lists must not be modified.
type Status struct {
	Group string
	Role  Role
	// Leader is the VM id of the leader, "" if unknown.
	Leader   string
	Term     uint64
	Commit   uint64
	Applied  uint64
	Self     Member
	Voters   []Member
	Learners []Member
	// Serving is true if the state machine holds the group's state: it was
	// recovered from disk, or has caught up with a leader since the start.
	Serving bool
	// Confirmed is false while a restarted VM waits for the other voters to
	// confirm that its disk is not an older one. Until then it does not vote.
	Confirmed bool
}

// Errors of Propose and ReadBarrier.
var (
	// ErrNotCommitted means that the entry is not and never will be committed.
	ErrNotCommitted = errors.New("entry is not committed and never will be; it may be proposed again")
	// ErrOutcomeUnknown means that the entry may or may not be committed later.
	ErrOutcomeUnknown = errors.New("entry may be committed; ask for its effect before proposing it again")
	// ErrStopped means that the host has stopped or was not started; the call had no effect.
	ErrStopped = errors.New("replica host is not running")
)

// ErrNotLeader refuses a call that only the leader can serve. The call had no effect.
// errors.Is(err, ErrNotLeader{}) holds for any leader.
type ErrNotLeader struct {
	// Leader is the VM id of the leader, "" if unknown.
	Leader string
}

// Error implements error.
func (e ErrNotLeader) Error() string {
	if e.Leader == "" {
		return "this VM is not the leader and knows of none; retry later"
	}
	return fmt.Sprintf("this VM is not the leader; ask %s", e.Leader)
}

// Is reports whether target is an ErrNotLeader.
func (e ErrNotLeader) Is(target error) bool {
	_, ok := target.(ErrNotLeader)
	return ok
}

func (c *HostConfig) setDefaults() error {
	if c.Heartbeat == 0 {
		c.Heartbeat = DefaultHeartbeat
	}
	if c.Election == 0 {
		c.Election = DefaultElection
	}
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = DefaultSnapshotEvery
	}
	if c.Clock == nil {
		c.Clock = boottime.Now
	}
	if c.OnFatal == nil {
		c.OnFatal = func(error) {}
	}
	if c.openFS == nil {
		c.openFS = wal.OpenFolder
	}
	if c.ID == "" || c.Messenger == nil {
		return errors.New("replica host needs a VM id and a messenger")
	}
	if c.Heartbeat < 2*time.Millisecond || c.Election <= 4*c.Heartbeat {
		return fmt.Errorf("election timeout %v must be more than 4 heartbeats of %v", c.Election, c.Heartbeat)
	}
	return nil
}
