package dispatch

import "time"

// strayCalls are the starts of a session that its incarnation is not known to have received, and a hold that a later incarnation has
// answered. That one may have taken the leases in them. Holds without an answer, which may be carried out late as well, are not among them:
// endless tasks cannot wait for that, and for finite ones lateOver counts. The event loop owns it.
type strayCalls struct {
	// arrivals maps a number to the time by which the call has arrived, if ever.
	arrivals map[uint64]time.Duration
	last     uint64
}

// sent records a call that arrives by the given time, if ever, and returns its number. It forgets those whose leases are over, as they
// arrived before the other given time.
func (s *strayCalls) sent(arrives, over time.Duration) uint64 {
	for number, arrival := range s.arrivals {
		if arrival < over {
			delete(s.arrivals, number)
		}
	}
	if s.arrivals == nil {
		s.arrivals = map[uint64]time.Duration{}
	}
	s.last++
	s.arrivals[s.last] = arrives
	return s.last
}

// forget forgets a call that no later incarnation can have received.
func (s *strayCalls) forget(number uint64) { delete(s.arrivals, number) }

// arrived records that a call has arrived by the given time, at a later incarnation.
func (s *strayCalls) arrived(number uint64, at time.Duration) { s.arrivals[number] = at }

// latest returns the time by which all of them have arrived, 0 if there are none.
func (s *strayCalls) latest() time.Duration {
	latest := time.Duration(0)
	for _, arrival := range s.arrivals {
		latest = max(latest, arrival)
	}
	return latest
}

// inheritedLease returns when all leases are over that calls for former incarnations may have granted to one that this VM learnt of at the
// given time: by the calls of this term, and by those of previous leaders.
func (l *Leader) inheritedLease(worker string, learnt time.Duration) time.Duration {
	previousTerms := min(learnt, l.termStart+previousLeaderTimeout) + lateCallTimeout
	return max(l.strayArrivals[worker], previousTerms) + l.longestLease()
}
