// Package replica hosts the replicated state machines of a process.
//
// A Host owns one control goroutine, which steps the raft nodes of all groups,
// applies committed entries and publishes the status of each group. Each group
// has one goroutine that writes and syncs its log and reports back to the
// control goroutine. Peers and proposers are answered only after the sync.
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
	// Apply executes one committed entry. It must be deterministic. Propose
	// returns its result to the proposer.
	Apply(index, term uint64, entry []byte) any
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state with a snapshot.
	Restore(snapshot []byte) error
}

// Messenger carries messages between VMs.
type Messenger interface {
	// Send is best effort: it does not block, and messages may be lost,
	// repeated or reordered. It does not keep payload after it returns.
	Send(to string, channel string, payload []byte)
	// Handle sets the function that receives the messages of a channel. from is
	// the authenticated id of the sending VM.
	Handle(channel string, f func(from string, payload []byte))
}

// HostConfig configures a Host.
type HostConfig struct {
	// ID is the VM id.
	ID string
	// DataFolder holds the logs. If it is empty, state is kept in memory only.
	DataFolder string
	Messenger  Messenger
	// Heartbeat is the interval of heartbeats, default 50 ms. Election is the
	// shortest election timeout, default 300 ms; the longest is twice that.
	// Election must be longer than 4 heartbeat intervals.
	Heartbeat, Election time.Duration
	// SnapshotEvery is the number of entries between snapshots, default 10000.
	SnapshotEvery uint64
	Logger        zerolog.Logger
	// Clock returns the time since a fixed moment, including time for which the
	// VM was suspended. The default is boottime.Now.
	Clock func() time.Duration
	// OnFatal is called once if the host stops by itself, because a disk failed
	// or an invariant was violated.
	OnFatal func(error)

	// openFS opens the folder of a log, default wal.OpenFolder. Tests replace it
	// to simulate failing disks.
	openFS func(folder string) (wal.FS, error)
}

// GroupConfig configures a Group.
type GroupConfig struct {
	// Name consists of lower-case letters, digits, "-" and ".", and starts with
	// a letter or digit.
	Name string
	// Voters are the ids of the VMs that should vote. After a change of the list
	// the leader adds the new VMs, and removes a VM that neither Voters nor
	// Learners lists once that VM is stopped.
	Voters []string
	// Learners are the ids of the VMs that replicate the log without a vote.
	Learners []string
	Machine  StateMachine
	// Open lets VMs join that are not listed. Voters are then the VMs that
	// bootstrap the group at its first start; at every later start Voters is
	// empty, and a VM without entries takes those of its first start from its disk.
	Open bool
	// Contacts are ids of VMs, other than known members, through which this VM
	// tries to find the group.
	Contacts []string
	// MinVoters is the number of voters below which an open group removes no
	// voter that does not answer.
	MinVoters int
}

// Defaults of HostConfig.
const (
	DefaultHeartbeat     = 50 * time.Millisecond
	DefaultElection      = 300 * time.Millisecond
	DefaultSnapshotEvery = 10000
	// DefaultSnapshotBytes is the size of the entries after which there is a snapshot, however few they are.
	DefaultSnapshotBytes = 16 << 20
)

// MaxEntryBytes is the largest entry that Propose accepts.
const MaxEntryBytes = 4 << 20

// Role is the role of this VM in a group.
type Role string

// Roles. A VM that is not a member yet counts as a learner.
const (
	RoleLearner   Role = "learner"
	RoleFollower  Role = "follower"
	RoleCandidate Role = "candidate"
	RoleLeader    Role = "leader"
)

// Member identifies a member: the VM id and the incarnation, which changes
// whenever the VM joins without its earlier state.
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
	// Serving is true if the state machine holds the state of the group, either
	// recovered from disk or received from a leader since the start.
	Serving bool
	// Confirmed is false while a restarted VM waits for the other voters to
	// confirm that its disk was not restored from an older copy. Until then the
	// VM does not vote.
	Confirmed bool
}

// Errors of Propose and ReadBarrier.
var (
	// ErrNotCommitted means that the entry was not committed and never will be.
	ErrNotCommitted = errors.New("entry is not committed and never will be; it may be proposed again")
	// ErrOutcomeUnknown means that the entry may have been committed, or may be
	// committed later.
	ErrOutcomeUnknown = errors.New("entry may be committed; ask for its effect before proposing it again")
	// ErrStopped means that the host has stopped or was not started. The call had
	// no effect.
	ErrStopped = errors.New("replica host is not running")
)

// ErrNotLeader is returned for a call that only the leader can serve. The call
// had no effect. errors.Is(err, ErrNotLeader{}) is true whatever Leader is.
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
		return fmt.Errorf("election timeout %v must be longer than 4 heartbeat intervals of %v, which must be at least 2ms", c.Election, c.Heartbeat)
	}
	return nil
}
