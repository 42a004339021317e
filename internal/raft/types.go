package raft

import (
	"fmt"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// ID identifies one incarnation of a VM.
type ID struct {
	VM          string
	Incarnation uint64
}

// IsZero reports whether the ID is unset.
func (id ID) IsZero() bool { return id == ID{} }

// String returns "vm/incarnation" with the incarnation in hexadecimal.
func (id ID) String() string { return fmt.Sprintf("%s/%x", id.VM, id.Incarnation) }

func (id ID) proto() *pb.RaftMemberID {
	return &pb.RaftMemberID{Vm: id.VM, Incarnation: id.Incarnation}
}

func idOf(p *pb.RaftMemberID) ID {
	return ID{VM: p.GetVm(), Incarnation: p.GetIncarnation()}
}

// Role is the current role of a node in its group.
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

// Config holds the settings and the recovered state of a node.
type Config struct {
	Self ID
	// Boot is the boot counter, which starts at 1. It must be raised at each start, unless
	// HardState.ConfirmedBoot is lower than the counter, that is, the counter is not yet
	// confirmed.
	Boot uint64
	// Start is a random value other than 0 that is drawn whenever Boot is raised.
	Start uint64
	// Restarted is true if the state was read from a disk that an earlier process wrote. The boot
	// counter of a restarted voter must be confirmed before the voter takes part.
	Restarted bool
	// Voters and Learners are the VM ids of the initial members.
	Voters, Learners []string
	// Open lets every VM that reaches a member join, and makes each of them a voter once it has
	// caught up. Without it only the listed VMs join. In an open group Voters lists the VMs that
	// bootstrap the group and is empty at any later start.
	Open bool
	// Contacts are ids of VMs that may belong to the group although the membership known to this
	// node does not list them.
	Contacts []string
	// MinVoters is the number of voter VMs of an open group at or below which no unresponsive
	// voter is removed.
	MinVoters int
	// ElectionTicks is the shortest election timeout; the longest is twice that.
	ElectionTicks, HeartbeatTicks int
	// Random returns a number in [0, n). n is at least 1.
	Random func(n uint64) uint64
	// HardState, Snapshot and Entries are the recovered state, empty for a new node.
	HardState *pb.RaftHardState
	Snapshot  *pb.RaftSnapshot
	Entries   []*pb.RaftEntry

	disabledChecks disabledChecks
}

// disabledChecks turns off individual safety checks. Only tests set it, to show that their
// invariant checks detect the resulting errors.
type disabledChecks struct {
	skipBootCheck      bool
	skipPromotionCheck bool
}

// Limits of messages and queues.
const (
	// maxAppendBytes bounds the entries of one append message, unless a single entry is larger.
	maxAppendBytes = 256 << 10
	// maxInFlight bounds the unanswered append messages to one follower. Together with
	// maxAppendBytes it bounds the queue to a follower to 8 MiB.
	maxInFlight = 32
	// snapshotChunkBytes bounds the snapshot data in one message.
	snapshotChunkBytes = 256 << 10
	// maxUncommittedBytes bounds the proposals that a leader holds before they are committed.
	maxUncommittedBytes = 64 << 20
	// removalTimeouts is the number of election timeouts without an answer after which a member
	// may be removed: one whose VM is no longer listed or, in an open group, any member.
	removalTimeouts = 10
	// learnerHeartbeatRatio is the number of heartbeats to voters for each heartbeat to learners.
	// Learners are part of no quorum, so a lower rate suffices. The time between two heartbeats to
	// a learner must stay below the election timeout; otherwise learners would report that there
	// is no leader.
	learnerHeartbeatRatio = 4
)

// Ready is the work that the caller must do, in this order: persist Snapshot, HardState and
// Entries with one sync; then send AfterSync (a message to the node itself goes to Step) and call
// Persisted. Messages may be sent and Committed entries applied without waiting for the sync.
type Ready struct {
	// Snapshot to restore, if not nil. It replaces the state machine and the log.
	Snapshot *pb.RaftSnapshot
	// HardState to persist, if not nil.
	HardState *pb.RaftHardState
	// Commit replaces the commit index of the last HardState. It needs no write of
	// its own and is persisted along with other changes.
	Commit uint64
	// Entries to persist. They replace persisted entries at the same and higher indexes.
	Entries   []*pb.RaftEntry
	Messages  []*pb.RaftMessage
	AfterSync []*pb.RaftMessage
	Committed []*pb.RaftEntry
	// Reads are the outcomes of ReadIndex calls. A confirmed read may be served once everything up
	// to its index is applied.
	Reads []Read
	// SnapshotWanted asks the caller to call ProvideSnapshot with the current state of the state
	// machine.
	SnapshotWanted bool
	// Write identifies this batch for Persisted; 0 if there is nothing to persist.
	Write uint64
}

// MustSync reports whether there is something to persist.
func (r *Ready) MustSync() bool { return r.Write != 0 }

// Read is the outcome of ReadIndex.
type Read struct {
	Token uint64
	// Index is the entry that must be applied before the read is served.
	Index uint64
	// OK is false if this node lost leadership before the read was confirmed.
	OK bool
}

// Status is a snapshot of the observable state of a node. The lists must not be modified.
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
	// SnapshotPending is true while Applied already counts a snapshot that no Ready has returned yet.
	SnapshotPending bool
	// StaleDisk is true once a peer reported that this node runs on an older image of its disk.
	StaleDisk bool
	// CaughtUp is true once this node has applied every entry that was committed when it first
	// caught up with a leader.
	CaughtUp bool
	// OtherGroup is true once a message with another group id has arrived.
	OtherGroup bool
	// Fault is set once the node has detected a violated invariant. The node does nothing more
	// after that.
	Fault error
}

// MemberProgress is the leader's view of a member, including itself.
type MemberProgress struct {
	ID    ID
	Voter bool
	// Match is the index of the last entry that the member acknowledged.
	Match uint64
	// Applied is the index of the last entry that the member reported as applied. A
	// voter reports it with every heartbeat, a learner with every fourth.
	Applied uint64
	// Reachable is true if the member answered within an election timeout.
	Reachable bool
}

// Errors of proposals, reads and leadership transfers.
var (
	ErrNotLeader = fmt.Errorf("this node is not the leader")
	ErrBusy      = fmt.Errorf("the leader has too many uncommitted proposals or is transferring its leadership")
	ErrTransfer  = fmt.Errorf("leadership cannot be transferred: no other voter is reachable with a confirmed boot counter")
)
