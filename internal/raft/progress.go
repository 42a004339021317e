package raft

import "github.com/lentilyard/lentilyard/internal/pb"

type progressState uint8

const (
	// probing sends one append at a time until the follower's log is located.
	probing progressState = iota
	// replicating sends appends without waiting, up to maxInFlight.
	replicating
	// sendingSnapshot sends one chunk at a time.
	sendingSnapshot
)

// progress is what a leader knows of one member.
type progress struct {
	state progressState
	match uint64
	next  uint64
	// counted is false while the member's boot counter is unconfirmed: its
	// answers then move match, but count towards no quorum.
	counted bool
	// highest is the highest index that the member acknowledged to this
	// leader in any boot while its boot counter was confirmed.
	highest uint64
	// inFlight holds the last index of each append without an answer.
	inFlight []uint64
	// waiting is true after a probe until its answer or the next heartbeat answer.
	waiting bool
	// lastHeard is the tick of the last counted answer.
	lastHeard int
	// round is the latest read round that the member answered.
	round uint64
	// applied is the last entry that the member reported as applied.
	applied uint64
	// commitSent is the highest commit index sent.
	commitSent uint64
	// advanced is the tick at which match last grew, or at which appends began after none were in flight.
	advanced int

	snapshot   *pb.RaftSnapshot
	offset     uint64
	chunkSent  int // tick at which the current chunk was sent
	chunkReady bool
}

func newProgress(next uint64, now int) *progress {
	return &progress{next: next, lastHeard: now, counted: true}
}

// restart forgets what the member acknowledged before its process restarted.
func (p *progress) restart() {
	*p = progress{next: p.match + 1, lastHeard: p.lastHeard, highest: p.highest}
}

func (p *progress) probe(next uint64) {
	p.state = probing
	p.next = max(p.match+1, next)
	p.inFlight = p.inFlight[:0]
	p.waiting = false
	p.snapshot = nil
}

// acknowledged records that the member holds everything up to index.
func (p *progress) acknowledged(index uint64) {
	p.match = max(p.match, index)
	if p.counted {
		p.highest = max(p.highest, p.match)
	}
	p.next = max(p.next, p.match+1)
	freed := 0
	for freed < len(p.inFlight) && p.inFlight[freed] <= index {
		freed++
	}
	p.inFlight = p.inFlight[freed:]
	p.waiting = false
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

// stalled reports whether appends were sent at least the given number of ticks ago without effect.
func (p *progress) stalled(now, ticks int) bool { return now-p.advanced >= ticks }

func (p *progress) canSend() bool {
	switch p.state {
	case probing:
		return !p.waiting
	case replicating:
		return len(p.inFlight) < maxInFlight
	}
	return false
}

func (p *progress) sent(last uint64) {
	if p.state == probing {
		p.waiting = true
		return
	}
	p.next = last + 1
	p.inFlight = append(p.inFlight, last)
}
