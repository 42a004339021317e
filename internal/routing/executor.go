package routing

import (
	"crypto/rand"
	"net/http"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// closeNoticeTime is added to the time from which a reserved slot counts, because an executor needs
// some time to notice that a connection was closed. Announcements with a nonce issued earlier do not
// free the slot.
const closeNoticeTime = 50 * time.Millisecond

// rememberedNonces is the number of nonces kept per executor. When a reply to an announcement is lost,
// the executor echoes an older nonce; four nonces cover three lost replies in a row, which already take
// 2 s, the default lease.
const rememberedNonces = 4

// issuedNonce is a nonce sent to an executor and the time at which it was issued.
type issuedNonce struct {
	value string
	at    time.Time
}

// executor is the state of one executor process. All fields are guarded by Table.mu.
type executor struct {
	id, instance, address string
	domain, rack, service string
	// slots is the smaller one of announcedSlots and connections.
	slots, connections uint32
	announcedSlots     uint32
	capacity           *pb.Resources

	nonces     [rememberedNonces]issuedNonce
	nextNonce  int
	leaseUntil time.Time
	// announced is the time of the last announcement.
	announced time.Time
	draining  bool
	// released is set when this table gave up the lease: it moved the executor to another entry VM, or
	// the process is gone.
	released bool

	// inFlight counts the requests of this table.
	inFlight uint32
	// reserved has one entry, in ascending order, for each slot that a request of a former lease holder
	// or an abandoned request may still use: the time from which such requests count. A report frees the
	// slot only if its nonce was issued at or after that time.
	reserved []time.Time
	// paused stops new requests until a report shows which reserved slots are really in use.
	paused bool
	// idleSince is the time since which a paused executor has no request of this table in flight, or zero.
	idleSince time.Time

	health    health
	transport *http.Transport
	grants    []*Grant
	pool      *pool
	// availableIndex is the index in Picker.available, or -1 if the executor has no free slot.
	availableIndex int
}

func newExecutor(a *pb.Announcement, p *pool, dial DialFunc) *executor {
	e := &executor{id: a.Id, instance: a.Instance, service: a.Service, pool: p, availableIndex: -1}
	e.address = a.Address
	e.transport = newTransport(a.Slots, a.Connections, dial)
	// Each request in flight needs a connection.
	e.slots = min(a.Slots, a.Connections)
	e.announcedSlots = a.Slots
	e.reserved = make([]time.Time, 0, e.slots)
	e.grants = make([]*Grant, 0, e.slots)
	for range e.slots {
		e.grants = append(e.grants, &Grant{executor: e})
	}
	e.update(a)
	return e
}

// update copies the fields that may differ between announcements of one process.
func (e *executor) update(a *pb.Announcement) {
	e.domain = a.FailureDomain
	e.rack = a.Rack
	e.connections = a.Connections
	e.capacity = a.Capacity
}

// issueNonce returns a new nonce. It replaces the oldest one remembered.
func (e *executor) issueNonce(now time.Time) string {
	n := issuedNonce{value: rand.Text(), at: now}
	e.nonces[e.nextNonce] = n
	e.nextNonce = (e.nextNonce + 1) % rememberedNonces
	return n.value
}

// issuedAt returns the time at which the nonce was issued, or false if it is unknown.
func (e *executor) issuedAt(nonce string) (time.Time, bool) {
	if nonce == "" {
		return time.Time{}, false
	}
	for i := range e.nonces {
		if e.nonces[i].value == nonce {
			return e.nonces[i].at, true
		}
	}
	return time.Time{}, false
}

func (e *executor) leased(now time.Time) bool {
	return !e.released && now.Before(e.leaseUntil)
}

// limit returns how many requests of this table may be in flight.
func (e *executor) limit() uint32 {
	if len(e.reserved) >= int(e.slots) || e.paused {
		return 0
	}
	usable := e.slots - uint32(len(e.reserved))
	if e.health.probing && usable > 1 {
		return 1
	}
	return usable
}

// usable reports whether a request may be sent to the executor now.
func (e *executor) usable(now time.Time) bool {
	return e.leased(now) && !e.draining && !e.health.ejected && e.inFlight < e.limit()
}

// reserveSlots reserves n more slots, at most all, for requests that may still run.
func (e *executor) reserveSlots(n uint32, now time.Time) {
	for ; n > 0 && len(e.reserved) < int(e.slots); n-- {
		e.reserved = append(e.reserved, now)
	}
}

// freeReserved frees the reserved slots that the executor no longer reports as in use. A report covers
// only slots reserved before its nonce was issued. An executor may count all its requests in a report;
// under load the number then never falls below the number of reserved slots. Once a slot has been
// reserved for maxReserved, the executor is therefore paused until a report cannot count requests of
// this table.
func (e *executor) freeReserved(reported uint32, nonceAt, now time.Time, maxReserved time.Duration) {
	covered := 0
	for _, since := range e.reserved {
		if !since.After(nonceAt) {
			covered++
		}
	}
	if ended := covered - int(reported); ended > 0 {
		e.reserved = append(e.reserved[:0], e.reserved[ended:]...)
	}
	if e.paused && e.inFlight == 0 && !e.idleSince.IsZero() && !e.idleSince.After(nonceAt) {
		e.paused = false
		for i := range e.reserved {
			e.reserved[i] = now
		}
		return
	}
	if len(e.reserved) > 0 && now.Sub(e.reserved[0]) >= maxReserved && !e.paused {
		e.paused = true
		e.idleSince = time.Time{}
	}
	if e.paused && e.inFlight == 0 && e.idleSince.IsZero() {
		e.idleSince = now
	}
}

// state returns the state shown in the target status.
func (e *executor) state(now time.Time) string {
	switch {
	case e.draining:
		return "draining"
	case !e.leased(now):
		return "lost"
	case e.health.ejected:
		return "set-aside"
	case e.health.probing:
		return "probing"
	}
	return "ready"
}
