package routing

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Bounds of an announcement.
const (
	maxSlots       = 4096
	maxConnections = 65536
	maxNameBytes   = 256
	// firstContactInterval asks an executor to echo its first nonce at once, since only an echoed
	// nonce starts a lease.
	firstContactInterval = 5 * time.Millisecond
	expireEvery          = 100 * time.Millisecond
	// forgetAfter leases without an announcement the executor leaves the table.
	forgetAfter = 10
)

// Announce takes over an announcement and returns the answer to it. The lease is counted from the time
// at which this table issued the echoed nonce, so a first contact grants nothing yet. Errors:
// ErrAnnouncement.
func (t *Table) Announce(a *pb.Announcement) (*pb.AnnouncementAnswer, error) {
	if err := checkAnnouncement(a); err != nil {
		return nil, err
	}
	drained := t.config.Drained(a.Id)
	siblings := t.config.Siblings()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	e, issued, known := t.session(a, now)
	e.update(a)
	e.announced = now
	e.draining = a.Draining || drained
	answer := &pb.AnnouncementAnswer{Holder: t.config.VM, EntryVms: siblings, Drain: drained}
	answer.LeaseMs = t.config.Lease.Milliseconds()
	answer.IntervalMs = t.config.Interval.Milliseconds()
	if known {
		e.renew(issued.Add(t.config.Lease))
		e.health.fade(e.pool.latency)
		e.settle(a.InFlight, issued, now, t.config.MaxReserved)
	} else {
		answer.IntervalMs = firstContactInterval.Milliseconds()
	}
	if known || t.draining {
		answer.MoveTo = t.move(e, now)
	}
	t.review(e, now)
	e.pool.list(e, now)
	t.dispatch(e.pool, now)
	t.refuseStranded(e.pool, now)
	answer.Nonce = e.issueNonce(now)
	return answer, nil
}

// session returns the executor of the announcement. known is false at first contact.
func (t *Table) session(a *pb.Announcement, now time.Time) (e *executor, issued time.Time, known bool) {
	e = t.executors[a.Id]
	if e != nil && e.sameProcess(a) {
		issued, known = e.issuedAt(a.Nonce)
		if known && !e.released && now.Sub(issued) < t.config.Lease {
			return e, issued, true
		}
		// The executor has been elsewhere: requests of another holder may still run.
		e.reserve(a.InFlight, now)
		e.released = false
		return e, issued, false
	}
	old := e
	e = newExecutor(a, t.pool(a.Service), t.config.Dial)
	e.reserve(a.InFlight+old.mayOccupy(a.Instance), now)
	if old != nil {
		old.retire()
	}
	e.pool.executors = append(e.pool.executors, e)
	t.executors[a.Id] = e
	t.logExecutor("executor announced", e)
	return e, issued, false
}

// mayOccupy returns how many slots requests sent through e may use in the process with the instance.
func (e *executor) mayOccupy(instance string) uint32 {
	if e == nil || e.instance != instance {
		return 0
	}
	return e.inFlight + uint32(len(e.unsettled))
}

func (e *executor) sameProcess(a *pb.Announcement) bool {
	return e.instance == a.Instance && e.address == a.Address && e.service == a.Service &&
		e.announcedSlots == a.Slots && e.connections == a.Connections
}

// reserve sets slots aside for requests that this table did not send.
func (e *executor) reserve(inFlight uint32, now time.Time) {
	e.leaseUntil = time.Time{}
	e.unsettled = e.unsettled[:0]
	e.leaveUnsettled(inFlight, now)
}

func (e *executor) renew(until time.Time) {
	if until.After(e.leaseUntil) {
		e.leaseUntil = until
	}
}

// retire ends the use of an executor process that is gone. Requests in flight end on their own.
func (e *executor) retire() {
	e.released = true
	e.pool.remove(e)
	e.transport.CloseIdleConnections()
}

// expire drops idle connections of executors whose announcement is overdue, since such a connection
// may have become silent, and forgets executors that stay away. It does so at most every expireEvery.
func (t *Table) expire(now time.Time) {
	if now.Sub(t.expired) < expireEvery {
		return
	}
	t.expired = now
	// Announcements come every interval and renew from a nonce that is one interval old: 1.5 intervals
	// after the expected time one is missing.
	missed := t.config.Lease - 5*t.config.Interval/2
	for id, e := range t.executors {
		if now.Before(e.leaseUntil.Add(-missed)) {
			continue
		}
		e.transport.CloseIdleConnections()
		e.pool.list(e, now)
		if e.inFlight == 0 && now.Sub(e.announced) > forgetAfter*t.config.Lease {
			e.retire()
			delete(t.executors, id)
			t.logExecutor("executor forgotten", e)
		}
	}
	for _, p := range t.pools {
		t.refuseStranded(p, now)
	}
}

func checkAnnouncement(a *pb.Announcement) error {
	switch {
	case a == nil:
		return ErrAnnouncement.With("the body is empty")
	case a.Id == "" || len(a.Id) > maxNameBytes:
		return ErrAnnouncement.With("id must have 1 to %d bytes, has %d", maxNameBytes, len(a.Id))
	case a.Service == "" || len(a.Service) > maxNameBytes:
		return ErrAnnouncement.With("service must have 1 to %d bytes, has %d", maxNameBytes, len(a.Service))
	case a.Instance == "" || len(a.Instance) > maxNameBytes:
		return ErrAnnouncement.With("instance must have 1 to %d bytes, has %d", maxNameBytes, len(a.Instance))
	case a.Slots < 1 || a.Slots > maxSlots:
		return ErrAnnouncement.With("slots must be 1 to %d, is %d", maxSlots, a.Slots)
	case a.Connections < 1 || a.Connections > maxConnections:
		return ErrAnnouncement.With("connections must be 1 to %d, is %d", maxConnections, a.Connections)
	}
	return checkAddress(a.Address)
}

func checkAddress(address string) error {
	u, err := url.Parse(address)
	if err != nil {
		return ErrAnnouncement.With("address %.100q is not a URL", address)
	}
	if u.Scheme != "http" || u.User != nil || u.Path != "" || u.RawQuery != "" || u.Fragment != "" {
		return ErrAnnouncement.With("address %.100q must read http://IP:port", address)
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return ErrAnnouncement.With("address %.100q must read http://IP:port", address)
	}
	return nil
}
