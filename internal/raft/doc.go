// Package raft is a consensus state machine without I/O, clocks or goroutines.
//
// The caller feeds it messages, ticks and proposals, and collects the results
// with Ready: state to persist, messages to send, and committed entries to
// apply. Given the same inputs and the same random source it behaves the same.
//
// # Members and quorums
//
// A member is one incarnation of a VM. The voters of a membership are counted
// by VM: a quorum is a majority of the voter VMs, and a VM with two voting
// incarnations counts only when both agree. That keeps every quorum of
// consecutive memberships intersecting while an incarnation is replaced, and a
// replacement needs no more live VMs than the membership before it.
//
// A membership is in force from the moment its entry is in the log. The leader
// appends the next one only when the one before is committed, and only after it
// has committed an entry of its own term. Memberships change in these steps:
//
//   - A new incarnation asks to join and becomes a learner. It replaces learners
//     of the same VM in the same entry.
//   - A learner whose VM is to vote becomes a voter once it has acknowledged
//     every entry that is committed at that moment.
//   - A voter whose VM has a voter that was promoted later is removed.
//   - A member whose VM is no longer listed and does not answer is removed; a
//     voter only once every listed voter VM votes.
//
// # Elections
//
// A node campaigns only after a pre-vote of a quorum, and a node that heard
// from a leader within the shortest election timeout grants neither vote nor
// pre-vote, except for a leadership transfer. Of two pre-candidates with equal
// logs the one with the higher VM id goes first. A leader steps down when it
// has not heard from a quorum within the shortest election timeout.
//
// # Durability
//
// A vote, an acknowledgement of entries and a confirmation of a boot counter
// leave a node only after what they rely on is synced. A leader sends entries
// before its own sync, and counts itself only after it. A node applies an entry
// when it is committed and synced on that node.
//
// # Restarted members
//
// A member with a disk has a boot counter and a random start value, which every
// message carries. Peers record the highest counter, its start value and the
// highest term that they have seen of a member. They refuse a lower counter, an
// equal one with another start value, and a boot check with a lower term or,
// on the leader, an end of the log before what the member acknowledged. The
// refused member must discard its state and rejoin as a new incarnation.
//
// A restarted member neither votes nor counts towards a commit until voters
// that form a quorum with it have confirmed its boot counter. It waits for all
// voters for one election timeout before it is content with a quorum, and then
// grants its vote only to logs that reach the last commit known to those that
// confirmed. A restored disk goes unnoticed only if each voter that could tell
// is unreachable during that time, or if its image was taken during the latest
// boot and neither the term nor the leader's record shows that.
//
// # Bootstrap
//
// The initial voter with the lowest VM id asks all others, and writes the first
// membership if every one of them holds nothing. The membership contains a
// random group id. Messages of another group id are refused.
package raft
