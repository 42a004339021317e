package raft

import "github.com/lentilyard/lentilyard/internal/pb"

// progressState is the way in which the leader sends entries to a member.
type progressState uint8

const (
	// probing sends one append at a time until the point where both logs agree is found.
	probing progressState = iota
	// replicating sends up to maxInFlight appends without waiting for answers.
	replicating
	// sendingSnapshot sends a snapshot, one chunk at a time.
	sendingSnapshot
)

// progress is the leader's view of one member.
type progress struct {
	state progressState
	match uint64 // last entry that the member acknowledged
	next  uint64 // first entry of the next append
	// bootConfirmed is false while the member's boot counter is unconfirmed. Its answers then
	// raise match, but count towards no quorum.
	bootConfirmed bool
	// highestMatch is the highest index that the member acknowledged to this leader in any boot
	// while its boot counter was confirmed.
	highestMatch uint64
	// inFlight holds the last entry index of each unanswered append.
	inFlight []uint64
	// probeInFlight is true from sending a probe until its answer or the next heartbeat answer.
	probeInFlight bool
	// lastHeard is the tick of the last answer with a confirmed boot counter.
	lastHeard int
	// readRound is the latest read round that the member answered.
	readRound uint64
	// applied is the index of the last entry that the member reported as applied.
	applied uint64
	// commitSent is the commit index in the last append to the member.
	commitSent uint64
	// lastAdvance is the tick at which match last grew, or at which an append was sent while none
	// was in flight.
	lastAdvance int

	snapshot   *pb.RaftSnapshot
	offset     uint64 // amount of snapshot data that the member holds
	chunkSent  int    // tick at which the latest chunk was sent
	chunkReady bool   // the chunk at offset may be sent
}

func newProgress(next uint64, now int) *progress {
	return &progress{next: next, lastHeard: now, bootConfirmed: true}
}

// resetAfterRestart discards what the member acknowledged before its process restarted, except for
// highestMatch.
func (p *progress) resetAfterRestart() {
	*p = progress{next: p.match + 1, lastHeard: p.lastHeard, highestMatch: p.highestMatch}
}

// probe goes back to sending one append at a time, from next on.
func (p *progress) probe(next uint64) {
	p.state = probing
	p.next = max(p.match+1, next)
	p.inFlight = p.inFlight[:0]
	p.probeInFlight = false
	p.snapshot = nil
}

// recordAck records that the member holds everything up to index.
func (p *progress) recordAck(index uint64) {
	p.match = max(p.match, index)
	if p.bootConfirmed {
		p.highestMatch = max(p.highestMatch, p.match)
	}
	p.next = max(p.next, p.match+1)
	answered := 0
	for answered < len(p.inFlight) && p.inFlight[answered] <= index {
		answered++
	}
	p.inFlight = p.inFlight[answered:]
	p.probeInFlight = false
	switch p.state {
	case probing:
		p.state = replicating
	case sendingSnapshot:
		if p.match >= p.snapshot.GetIndex() {
			p.probe(p.match + 1)
			p.state = replicating
		}
	}
}

// stalled reports whether appends have been sent for at least the given number of ticks without
// raising match.
func (p *progress) stalled(now, ticks int) bool { return now-p.lastAdvance >= ticks }

// canSend reports whether flow control allows another append.
func (p *progress) canSend() bool {
	switch p.state {
	case probing:
		return !p.probeInFlight
	case replicating:
		return len(p.inFlight) < maxInFlight
	}
	return false
}

// recordSent records an append whose last entry has the given index.
func (p *progress) recordSent(last uint64) {
	if p.state == probing {
		p.probeInFlight = true
		return
	}
	p.next = last + 1
	p.inFlight = append(p.inFlight, last)
}
