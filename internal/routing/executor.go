package routing

import (
	"crypto/rand"
	"net/http"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// closeNoticeTime is what an executor is given to notice that a connection was closed, before its
// report can free the slot.
const closeNoticeTime = 50 * time.Millisecond

// rememberedNonces is the number of nonces kept for one executor. An answer that was lost makes the
// executor echo an older nonce; four cover three lost answers in a row, which already take 2 s.
const rememberedNonces = 4

type issuedNonce struct {
	value string
	at    time.Time
}

// executor is one process of an executor. All fields are guarded by Table.mu.
type executor struct {
	id, instance, address string
	domain, rack, service string
	slots, connections    uint32
	announcedSlots        uint32
	capacity              *pb.Resources

	nonces     [rememberedNonces]issuedNonce
	nextNonce  int
	leaseUntil time.Time
	announced  time.Time
	draining   bool
	// released is set when the lease was given up by naming another entry VM.
	released bool

	inFlight uint32
	// unsettled has one time, in ascending order, for each slot that a request of a former holder, or
	// an abandoned request, may still use.
	unsettled []time.Time
	// quiet keeps new requests away, and quietSince is when the last one had ended.
	quiet      bool
	quietSince time.Time

	health    health
	transport *http.Transport
	grants    []*Grant
	pool      *pool
	// index in pool.available, or -1.
	index int
}

func newExecutor(a *pb.Announcement, p *pool, dial DialFunc) *executor {
	e := &executor{id: a.Id, instance: a.Instance, service: a.Service, pool: p, index: -1}
	e.address = a.Address
	e.transport = newTransport(a.Slots, a.Connections, dial)
	// Each request in flight needs a connection.
	e.slots = min(a.Slots, a.Connections)
	e.announcedSlots = a.Slots
	e.unsettled = make([]time.Time, 0, e.slots)
	e.grants = make([]*Grant, 0, e.slots)
	for range e.slots {
		e.grants = append(e.grants, &Grant{executor: e})
	}
	e.update(a)
	return e
}

// update takes over the fields that may change during the life of a process.
func (e *executor) update(a *pb.Announcement) {
	e.domain = a.FailureDomain
	e.rack = a.Rack
	e.connections = a.Connections
	e.capacity = a.Capacity
}

func (e *executor) issueNonce(now time.Time) string {
	n := issuedNonce{value: rand.Text(), at: now}
	e.nonces[e.nextNonce] = n
	e.nextNonce = (e.nextNonce + 1) % rememberedNonces
	return n.value
}

// issuedAt returns when the nonce was issued, or false if it is unknown.
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

// limit is the number of requests that may be in flight now.
func (e *executor) limit() uint32 {
	if len(e.unsettled) >= int(e.slots) || e.quiet {
		return 0
	}
	usable := e.slots - uint32(len(e.unsettled))
	if e.health.probing && usable > 1 {
		return 1
	}
	return usable
}

func (e *executor) usable(now time.Time) bool {
	return e.leased(now) && !e.draining && !e.health.setAside && e.inFlight < e.limit()
}

// leaveUnsettled reserves n more slots, at most all.
func (e *executor) leaveUnsettled(n uint32, now time.Time) {
	for ; n > 0 && len(e.unsettled) < int(e.slots); n-- {
		e.unsettled = append(e.unsettled, now)
	}
}

// settle frees the slots that the executor no longer reports as used. A report covers the slots left
// unsettled before its nonce was issued. An executor that counts all its requests in the report never
// falls below the number of unsettled slots under load: once one of them is older than longest, the
// executor gets no requests until a report can contain no others.
func (e *executor) settle(reported uint32, nonceAt, now time.Time, longest time.Duration) {
	covered := 0
	for _, since := range e.unsettled {
		if !since.After(nonceAt) {
			covered++
		}
	}
	if ended := covered - int(reported); ended > 0 {
		e.unsettled = append(e.unsettled[:0], e.unsettled[ended:]...)
	}
	if e.quiet && e.inFlight == 0 && !e.quietSince.IsZero() && !e.quietSince.After(nonceAt) {
		e.quiet = false
		for i := range e.unsettled {
			e.unsettled[i] = now
		}
		return
	}
	if len(e.unsettled) > 0 && now.Sub(e.unsettled[0]) >= longest && !e.quiet {
		e.quiet = true
		e.quietSince = time.Time{}
	}
	if e.quiet && e.inFlight == 0 && e.quietSince.IsZero() {
		e.quietSince = now
	}
}

func (e *executor) state(now time.Time) string {
	switch {
	case e.draining:
		return "draining"
	case !e.leased(now):
		return "lost"
	case e.health.setAside:
		return "set-aside"
	case e.health.probing:
		return "probing"
	}
	return "ready"
}
