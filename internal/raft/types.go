package raft

import (
	"fmt"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// ID names one incarnation of a VM.
type ID struct {
	VM          string
	Incarnation uint64
}

// IsZero reports whether the ID names nothing.
func (id ID) IsZero() bool { return id == ID{} }

// String returns "vm/incarnation" with the incarnation in hexadecimal.
func (id ID) String() string { return fmt.Sprintf("%s/%x", id.VM, id.Incarnation) }

func (id ID) proto() *pb.RaftMemberID {
	return &pb.RaftMemberID{Vm: id.VM, Incarnation: id.Incarnation}
}

func idOf(p *pb.RaftMemberID) ID {
	return ID{VM: p.GetVm(), Incarnation: p.GetIncarnation()}
}

// Role of a node.
type Role uint8

// Roles. Learner is also the role of a node that is not a member.
const (
	Learner Role = iota
	Follower
	PreCandidate
	Candidate
	Leader
)

// String returns the lower-case name of the role.
func (r Role) String() string {
	return [...]string{"learner", "follower", "pre-candidate", "candidate", "leader"}[r]
}

// Config of a node.
type Config struct {
	Self ID
	// Boot is the boot counter, from 1. It must be raised at each start, except
	// while HardState.ConfirmedBoot is lower than the counter.
	Boot uint64
	// Start is a random value drawn when Boot was raised, not 0.
	Start uint64
	// Restarted is true if the state was read from a disk that an earlier
	// process wrote. A restarted voter first has its boot counter confirmed.
	Restarted bool
	// Voters and Learners are the VM ids of the initial members.
	Voters, Learners []string
	// Open lets every VM join that reaches a member, and makes each of them a voter once it has caught up. Without it
	// only the listed VMs join. Voters are then the VMs that bootstrap the group; they are empty at any later start.
	Open bool
	// Contacts are VM ids that may know the group although this node's membership does not name them.
	Contacts []string
	// MinVoters is the number of voter VMs below which an open group removes none that is silent.
	MinVoters int
	// ElectionTicks is the shortest election timeout; the longest is twice that.
	ElectionTicks, HeartbeatTicks int
	// Random returns a number in [0, n). n is at least 1.
	Random func(n uint64) uint64
	// Recovered state; zero for a new node.
	HardState *pb.RaftHardState
	Snapshot  *pb.RaftSnapshot
	Entries   []*pb.RaftEntry

	faults faults
}

// faults leave out one protection each. Only tests of the history checkers set them.
type faults struct {
	skipBootCheck      bool
	skipPromotionCheck bool
}

// Limits of messages and queues.
const (
	// maxAppendBytes bounds the entries of one append message, unless a single entry is larger.
	maxAppendBytes = 256 << 10
	// maxInFlight is the number of append messages to one follower without an
	// answer. Together with maxAppendBytes it bounds the queue to a follower to 8 MiB.
	maxInFlight = 32
	// snapshotChunkBytes bounds the snapshot data in one message.
	snapshotChunkBytes = 256 << 10
	// maxUncommittedBytes bounds the proposals that a leader holds without a commit.
	maxUncommittedBytes = 64 << 20
	// unlistedTimeouts is the number of election timeouts without an answer
	// after which a member whose VM is not listed any more is removed.
	unlistedTimeouts = 10
	// learnerHeartbeatRatio is the number of heartbeats to voters for each one
	// to learners. Learners take part in no quorum, so a slower rate suffices;
	// it must stay below the election timeout, after which they report no leader.
	learnerHeartbeatRatio = 4
)

// Ready is the work that the caller must do, in this order: persist Snapshot,
// HardState and Entries with one sync; then send AfterSync (a message to the
// node itself goes to Step) and call Persisted. Messages may be sent at once.
// Committed entries may be applied at once.
type Ready struct {
	// Snapshot to restore, if not nil: it replaces state machine and log.
	Snapshot *pb.RaftSnapshot
	// HardState to persist, if not nil.
	HardState *pb.RaftHardState
	// Commit replaces the commit index of the last HardState. It need not be
	// persisted unless something else is.
	Commit uint64
	// Entries to persist. They replace entries of the same and higher indexes.
	Entries   []*pb.RaftEntry
	Messages  []*pb.RaftMessage
	AfterSync []*pb.RaftMessage
	Committed []*pb.RaftEntry
	// Reads are confirmed once everything up to their index is applied.
	Reads []Read
	// SnapshotWanted asks for a call of ProvideSnapshot with the state machine's current state.
	SnapshotWanted bool
	// Write identifies this batch for Persisted; 0 if there is nothing to persist.
	Write uint64
}

// MustSync reports whether there is something to persist.
func (r *Ready) MustSync() bool { return r.Write != 0 }

// Read is the outcome of ReadIndex.
type Read struct {
	Token uint64
	// Index that must be applied before the read is served.
	Index uint64
	// OK is false if leadership was lost before it could be confirmed.
	OK bool
}

// Status is a copy of a node's observable state. The lists must not be modified.
type Status struct {
	Role     Role
	Leader   ID
	Term     uint64
	Commit   uint64
	Applied  uint64
	Last     uint64
	Voters   []ID
	Learners []ID
	// Confirmed is false while a restarted voter waits for confirmation of its boot counter.
	Confirmed bool
	// StaleDisk is true once another voter reported a later boot or term of this incarnation.
	StaleDisk bool
	// CaughtUp is true once everything that a leader had committed is applied.
	CaughtUp bool
	// OtherGroup is true once a message of another group id has arrived.
	OtherGroup bool
	// Fault is set once the node has seen that an invariant does not hold. It then does nothing more.
	Fault error
}

// MemberProgress is what the leader knows of a member, including itself.
type MemberProgress struct {
	ID    ID
	Voter bool
	// Match is the last entry that the member acknowledged.
	Match uint64
	// Applied is the last entry that the member has reported as applied. The
	// report is at most one heartbeat old, for a learner four.
	Applied uint64
	// Reachable is true if the member answered within an election timeout.
	Reachable bool
}

// Errors of proposals.
var (
	ErrNotLeader = fmt.Errorf("this node is not the leader")
	ErrBusy      = fmt.Errorf("the leader has too many uncommitted proposals or is transferring its leadership")
	ErrTransfer  = fmt.Errorf("leadership cannot be transferred: no other voter holds the state")
)
