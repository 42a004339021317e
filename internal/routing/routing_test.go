package routing

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
)

func announcement(i int) *pb.Announcement {
	return &pb.Announcement{Id: fmt.Sprintf("e%d", i), Instance: "i", Service: "s", FailureDomain: "d1",
		Address: fmt.Sprintf("http://10.0.%d.%d:80", i/250, i%250+1), Slots: 8, Connections: 64}
}

// newTestTable returns a table that holds the leases of n executors, each with 8 slots.
func newTestTable(t testing.TB, n int, c Config) *Table {
	c.VM, c.Domain = "vm1", "d1"
	c.Seed = 7
	table := NewTable(c)
	for i := range n {
		for nonce := range 2 {
			a := announcement(i)
			if nonce > 0 {
				a.Nonce = table.executors[a.Id].nonces[0].value
			}
			if _, err := table.Announce(a); err != nil {
				t.Fatal(err)
			}
		}
	}
	return table
}

// Guards against a lease that ends later at the entry VM than at the executor. It must start when the
// echoed nonce was issued, however late the announcement arrives, and a first contact must not start one.
func TestLeaseCountsFromIssueOfNonce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable(Config{VM: "vm1", Seed: 1})
		a := announcement(0)
		answer, err := table.Announce(a)
		is.NoErr(err)
		is.Equal(table.TryAcquire(&Request{Service: "s"}), nil) // first contact
		time.Sleep(1500 * time.Millisecond)                     // the announcement was delayed
		a.Nonce = answer.Nonce
		_, err = table.Announce(a)
		is.NoErr(err)
		g := table.TryAcquire(&Request{Service: "s"})
		is.True(g != nil)
		g.Release(Outcome{})
		time.Sleep(500 * time.Millisecond)
		is.Equal(table.TryAcquire(&Request{Service: "s"}), nil) // 2 s after the nonce was issued
	})
}

// Guards against new requests to a draining executor, and against reuse of slots before the executor has
// reported the end of a former holder's or an abandoned request.
func TestReservedSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable(Config{VM: "vm1", Seed: 1})
		a := announcement(0)
		a.InFlight = 6
		renew := func(inFlight uint32) {
			a.InFlight = inFlight
			answer, err := table.Announce(a)
			is.NoErr(err)
			a.Nonce = answer.Nonce
			time.Sleep(500 * time.Millisecond)
		}
		free := func() (n int) {
			var grants []*Grant
			for g := table.TryAcquire(&Request{Service: "s"}); g != nil; g = table.TryAcquire(&Request{Service: "s"}) {
				grants = append(grants, g)
			}
			for _, g := range grants {
				g.Release(Outcome{Result: Unused})
			}
			return len(grants)
		}
		renew(6)
		renew(6)
		is.Equal(free(), 2)
		renew(0)
		is.Equal(free(), 8)
		table.TryAcquire(&Request{Service: "s"}).Release(Outcome{Result: Abandoned})
		is.Equal(free(), 7)
		renew(1) // the echoed nonce was issued before the request was abandoned
		renew(1)
		is.Equal(free(), 7)
		renew(0)
		is.Equal(free(), 8)
		a.Draining = true
		renew(0)
		is.Equal(free(), 0)
	})
}

// Guards against a member with many queued requests starving another one, a member that queues its
// requests one at a time getting more than its share, and urgent requests waiting behind normal ones.
func TestQueueSharesByWeight(t *testing.T) {
	is := is.New(t)
	var q fairQueue
	for range 90 {
		q.push(&waiter{request: Request{Member: "hanbit", Weight: 2}})
	}
	served := make(map[string]int)
	for range 60 {
		if l := q.flows["szikes"]; l == nil || len(l.waiting) == 0 {
			q.push(&waiter{request: Request{Member: "szikes", Weight: 1}})
		}
		served[q.pop().request.Member]++
	}
	is.True(served["hanbit"] >= 39 && served["hanbit"] <= 41)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTestTable(t, 1, Config{})
		var held []*Grant
		for range 8 {
			held = append(held, table.TryAcquire(&Request{Service: "s"}))
		}
		order := make(chan bool, 2)
		for _, urgent := range []bool{false, true} {
			go func() {
				g, err := table.Acquire(context.Background(), Request{Service: "s", Urgent: urgent})
				is.NoErr(err)
				order <- urgent
				time.Sleep(time.Millisecond)
				g.Release(Outcome{})
			}()
			synctest.Wait()
		}
		held[0].Release(Outcome{})
		is.True(<-order) // the urgent one
		is.True(!<-order)
		time.Sleep(time.Second)
	})
}

// Guards against a failing executor that keeps getting requests, and against the ejection of executors
// when all of them fail.
func TestOutliers(t *testing.T) {
	is := is.New(t)
	run := func(broken int) (setAside int) {
		table := newTestTable(t, 4, Config{})
		var busy []*Grant
		for range 400 {
			g := table.TryAcquire(&Request{Service: "s", Idempotent: true})
			if int(g.Target()[1]-'0') < broken {
				g.Release(Outcome{Latency: time.Millisecond, Status: 500})
				continue
			}
			if busy = append(busy, g); len(busy) > 16 {
				busy[0].Release(Outcome{Latency: time.Millisecond, Status: 200})
				busy = busy[1:]
			}
		}
		for _, s := range table.Targets() {
			if s.State == "set-aside" {
				setAside++
			}
		}
		return setAside
	}
	is.Equal(run(0), 0)
	is.Equal(run(1), 1)
	is.Equal(run(4), 0) // all executors fail
}

// Guards against more retries than DefaultRetryBudgetPercent of the requests.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	table := newTestTable(t, 1, Config{})
	retries := 0
	for range 1000 {
		table.TryAcquire(&Request{Service: "s"}).Release(Outcome{})
		if table.AllowRetry() {
			retries++
		}
	}
	is.Equal(retries, 100)
}

// Guards against panics on arbitrary announcements, and against grants beyond the announced slots and
// connections or while the executor is draining.
func FuzzAnnouncement(f *testing.F) {
	f.Add("e1", "i", "s", "http://127.0.0.1:80", uint32(8), uint32(64), "", uint32(0), false)
	f.Add("e1", "i", "s", "http://[::1]:80", uint32(1), uint32(1), "nonce", uint32(9), true)
	f.Fuzz(func(t *testing.T, id, instance, service, address string, slots, connections uint32, nonce string, inFlight uint32, draining bool) {
		table := NewTable(Config{VM: "vm1", Seed: 1})
		a := &pb.Announcement{Id: id, Instance: instance, Service: service, Address: address, Slots: slots,
			Connections: connections, Nonce: nonce, InFlight: inFlight, Draining: draining}
		answer, err := table.Announce(a)
		if err != nil {
			return
		}
		a.Nonce = answer.Nonce
		if _, err := table.Announce(a); err != nil {
			t.Fatalf("the second announcement was refused: %v", err)
		}
		n := uint32(0)
		for table.TryAcquire(&Request{Service: service}) != nil {
			n++
		}
		if n > slots || n > connections || draining && n > 0 {
			t.Fatalf("%d slots were granted of %d, draining %v", n, slots, draining)
		}
	})
}
