// Package raft implements Raft consensus as a deterministic state machine
// without I/O, clocks or goroutines.
//
// The caller passes in messages, ticks and proposals, and collects the results
// with Ready: state to persist, messages to send, and committed entries to
// apply. The same inputs and the same random source give the same results.
//
// # Members and quorums
//
// A member is one incarnation of a VM. Votes are counted by VM: a quorum is a
// majority of the voter VMs, and a VM with two voting incarnations counts only
// if both agree. This way the quorums of consecutive memberships intersect while
// an incarnation is replaced, and a replacement needs no more live VMs than the
// membership before it.
//
// A membership takes effect as soon as its entry is in the log. The leader
// appends the next one only after the previous one and an entry of the leader's
// own term are committed. Memberships change in these steps:
//
//   - A new incarnation asks to join and becomes a learner. The same entry
//     removes all other learners of that VM.
//   - A learner whose VM is to vote becomes a voter once it has acknowledged
//     every entry that is committed at that moment.
//   - If a VM has two voting incarnations, the one that was promoted first is
//     removed.
//   - A member that does not respond is removed if its VM is no longer listed; a
//     voter only once every listed voter VM votes. In an open group, which has no
//     list, a voter is removed only while enough other voter VMs respond.
//
// # Elections
//
// A node starts an election only after a quorum granted its pre-vote, or when
// the leader transfers its leadership to it. A node that heard from a leader
// within the shortest election timeout grants neither pre-votes nor votes, except
// for a leadership transfer. Of two pre-candidates with equal logs the one with
// the higher VM id campaigns first. A leader steps down when it has not heard
// from a quorum within the shortest election timeout.
//
// # Durability
//
// A vote, an acknowledgement of entries and a confirmation of a boot counter are
// sent only after the state that they rely on is synced. A leader sends entries
// before its own sync completes, and counts its own copy only afterwards. A node
// applies an entry once it is committed and synced on that node.
//
// # Restarted members
//
// A member has a boot counter, which is raised at each start (see Config.Boot), and
// a random start value that is drawn together with it. Every message carries both. Peers record
// the highest counter, its start value and the highest term that they have seen
// of a member. They reject a lower counter, an equal counter with another start
// value, and a boot check whose term is lower than recorded or, on the leader,
// whose log ends before an entry that the member acknowledged. Each of these
// shows that the member's disk was restored from an older image. A rejected
// member must discard its state and rejoin as a new incarnation.
//
// A restarted member neither votes nor counts towards a commit until voters that
// form a quorum together with it have confirmed its boot counter. For one
// election timeout it waits for all voters; after that a quorum suffices. It
// then votes only for candidates whose log reaches the last commit that the
// confirming voters reported. A restored disk goes undetected only if every voter
// that could detect it is unreachable during that time, or if its image was taken
// during the latest boot and neither the recorded term nor the leader's record of
// acknowledged entries reveals it.
//
// # Bootstrap
//
// The initial voter with the lowest VM id asks all other initial voters whether
// they hold any state, and writes the first membership if none of them does. The
// membership contains a random group id. Messages with another group id are
// rejected. A member that restarts without entries is a new incarnation with the same list of
// initial voters, which is kept on its disk.
package raft
