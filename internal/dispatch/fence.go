package dispatch

// A call names a worker by its id only, so that a later incarnation with the same id takes a call that was meant for its predecessor.
// Each session therefore has a fencing token of its own, higher than those of all sessions before it: once an incarnation has answered
// its session, it refuses all calls of earlier ones.

// sessionBits is the number of low bits of a fencing token that count the sessions of a term.
const sessionBits = 24

// fencingToken returns the token of the calls in a session, which is the given one in its term.
func fencingToken(term, session uint64) uint64 {
	return term<<sessionBits | min(session, 1<<sessionBits-1)
}

// nextFence returns the fencing token for a new session.
func (l *Leader) nextFence() uint64 {
	l.sessionsOpened++
	return fencingToken(l.term, l.sessionsOpened)
}

// countSessionsIn begins to count the sessions of a term, or goes on if this VM leads again in the same one.
func (l *Leader) countSessionsIn(term uint64) {
	if l.countedTerm != term {
		l.countedTerm, l.sessionsOpened = term, 0
	}
}

// fenceFor returns the fencing token for calls to a worker outside a session. It is no higher than that of the worker's session.
func (l *Leader) fenceFor(worker string) uint64 {
	if s := l.sessions[worker]; s != nil {
		return s.fence
	}
	return fencingToken(l.term, l.sessionsOpened)
}
