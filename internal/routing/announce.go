package routing

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	// Limits on the fields of an announcement.
	maxSlots       = 4096
	maxConnections = 65536
	maxNameBytes   = 256
	// firstContactInterval is the announcement interval sent in reply to a first contact. It is short
	// because a lease starts only when the executor echoes the nonce.
	firstContactInterval = 5 * time.Millisecond
	// expireEvery is the least time between two scans for overdue executors.
	expireEvery = 100 * time.Millisecond
	// forgetAfter is the time without an announcement, in leases, after which an executor is removed
	// from the table.
	forgetAfter = 10
)

// Announce applies the announcement of an executor and returns the reply. The lease starts at the time
// at which this table issued the nonce that the executor echoes, so a first contact grants no lease.
// It returns ErrAnnouncement if the announcement is malformed.
func (t *Table) Announce(a *pb.Announcement) (*pb.AnnouncementAnswer, error) {
	if err := checkAnnouncement(a); err != nil {
		return nil, err
	}
	drained := t.config.Drained(a.Id)
	siblings := t.config.Siblings()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	e, issued, known := t.executorFor(a, now)
	e.update(a)
	e.announced = now
	e.draining = a.Draining || drained
	answer := &pb.AnnouncementAnswer{Holder: t.config.VM, EntryVms: siblings, Drain: drained}
	answer.LeaseMs = t.config.Lease.Milliseconds()
	answer.IntervalMs = t.config.Interval.Milliseconds()
	if known {
		e.renew(issued.Add(t.config.Lease))
		e.health.decay(e.pool.latency)
		e.freeReserved(a.InFlight, issued, now, t.config.MaxReserved)
	} else {
		answer.IntervalMs = firstContactInterval.Milliseconds()
	}
	if known || t.draining {
		answer.MoveTo = t.move(e, now)
	}
	t.updateHealth(e, now)
	e.pool.updateAvailable(e, now)
	t.dispatch(e.pool, now)
	t.refuseWithoutExecutors(e.pool, now)
	answer.Nonce = e.issueNonce(now)
	return answer, nil
}

// executorFor returns the executor that sent the announcement. A new process is added to the table and
// replaces an earlier one with the same id. If the announcement echoes a nonce that this table issued
// less than a lease ago, known is true and issued is that time. Otherwise it is a first contact.
func (t *Table) executorFor(a *pb.Announcement, now time.Time) (e *executor, issued time.Time, known bool) {
	e = t.executors[a.Id]
	if e != nil && e.sameProcess(a) {
		issued, known = e.issuedAt(a.Nonce)
		if known && !e.released && now.Sub(issued) < t.config.Lease {
			return e, issued, true
		}
		// Another entry VM may have held the lease in the meantime; its requests may still run.
		e.resetLease(a.InFlight, now)
		e.released = false
		return e, issued, false
	}
	old := e
	e = newExecutor(a, t.pool(a.Service), t.config.Dial)
	e.resetLease(a.InFlight+old.slotsInUse(a.Instance), now)
	if old != nil {
		old.retire()
	}
	e.pool.executors = append(e.pool.executors, e)
	t.executors[a.Id] = e
	t.logExecutor("executor announced", e)
	return e, issued, false
}

// slotsInUse returns how many slots of the given process instance may still be used by requests sent
// through e.
func (e *executor) slotsInUse(instance string) uint32 {
	if e == nil || e.instance != instance {
		return 0
	}
	return e.inFlight + uint32(len(e.reserved))
}

// sameProcess reports whether the announcement comes from the process that e describes, with the same
// service, slots and connections.
func (e *executor) sameProcess(a *pb.Announcement) bool {
	return e.instance == a.Instance && e.address == a.Address && e.service == a.Service &&
		e.announcedSlots == a.Slots && e.connections == a.Connections
}

// resetLease ends the lease and replaces all reservations by inFlight reserved slots, since requests
// of another entry VM may be running.
func (e *executor) resetLease(inFlight uint32, now time.Time) {
	e.leaseUntil = time.Time{}
	e.reserved = e.reserved[:0]
	e.reserveSlots(inFlight, now)
}

// renew extends the lease. It never shortens it.
func (e *executor) renew(until time.Time) {
	if until.After(e.leaseUntil) {
		e.leaseUntil = until
	}
}

// retire removes an executor process from its pool and closes its idle connections. Requests in flight
// are not interrupted.
func (e *executor) retire() {
	e.released = true
	e.pool.remove(e)
	e.transport.CloseIdleConnections()
}

// expire closes the idle connections of executors whose announcement is overdue, since the network may
// drop whatever is sent on them, and removes executors that have not announced themselves for
// forgetAfter leases. It runs at most once every expireEvery.
func (t *Table) expire(now time.Time) {
	if now.Sub(t.lastExpiry) < expireEvery {
		return
	}
	t.lastExpiry = now
	// An announcement arrives every interval and renews the lease from a nonce that is one interval old.
	// It is overdue 1.5 intervals after its expected time, that is 2.5 intervals after the nonce was
	// issued.
	missed := t.config.Lease - 5*t.config.Interval/2
	for id, e := range t.executors {
		if now.Before(e.leaseUntil.Add(-missed)) {
			continue
		}
		e.transport.CloseIdleConnections()
		e.pool.updateAvailable(e, now)
		if e.inFlight == 0 && now.Sub(e.announced) > forgetAfter*t.config.Lease {
			e.retire()
			delete(t.executors, id)
			t.logExecutor("executor forgotten", e)
		}
	}
	for _, p := range t.pools {
		t.refuseWithoutExecutors(p, now)
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
