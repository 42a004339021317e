package httplimit

import (
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// client is a connection in a test. It ends as soon as it is disconnected, unless it lingers.
type client struct {
	account *Account
	gone    chan struct{}
	once    sync.Once
}

func connect(b *Budget, lingers bool, patience time.Duration) (*client, error) {
	c := &client{gone: make(chan struct{})}
	account, err := b.open(func() {
		c.once.Do(func() { close(c.gone) })
		if !lingers {
			c.account.end()
		}
	}, patience)
	c.account = account
	return c, err
}

func mustConnect(t *testing.T, b *Budget, lingers bool) *client {
	t.Helper()
	c, err := connect(b, lingers, 0)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (c *client) connected() bool {
	select {
	case <-c.gone:
		return false
	default:
		return true
	}
}

const part = 10 << 10

// Guards against newcomers that are refused because a crowd holds unfinished requests.
func TestOldestUnfinishedRequestMakesRoom(t *testing.T) {
	is := is.New(t)
	b := newBudget(3*connectionBytes+2*part, 10, nil)
	var clients []*client
	for range 3 {
		clients = append(clients, mustConnect(t, b, false))
	}
	for _, c := range clients[1:] {
		is.True(c.account.received())
		is.NoErr(c.account.hold(part))
	}
	is.True(clients[0].account.received()) // the first to connect begins last
	is.NoErr(clients[0].account.hold(part))
	is.True(clients[0].connected())
	is.True(!clients[1].connected())
	is.True(clients[2].connected())
	is.True(errors.Is(clients[1].account.hold(part), ErrDisconnected))
}

// Guards against a whole request whose answer is lost because others need its memory.
func TestWholeRequestsAreNotDisconnected(t *testing.T) {
	is := is.New(t)
	b := newBudget(2*connectionBytes+part, 10, nil)
	whole, other := mustConnect(t, b, false), mustConnect(t, b, false)
	is.True(whole.account.received())
	is.NoErr(whole.account.hold(part))
	is.NoErr(whole.account.complete())
	is.True(other.account.received())
	is.True(errors.Is(other.account.hold(part), ErrExhausted))
	is.True(whole.connected())
	whole.account.answered()
	is.NoErr(other.account.hold(part)) // the memory is given back with the answer
}

// Guards against a request that has run although its client was told otherwise by a closed connection.
func TestDisconnectedRequestDoesNotBecomeWhole(t *testing.T) {
	is := is.New(t)
	b := newBudget(1<<20, 1, nil)
	first := mustConnect(t, b, true)
	is.True(first.account.received())
	mustConnect(t, b, false)
	is.True(!first.connected())
	is.True(errors.Is(first.account.complete(), ErrDisconnected))
}

// Guards against descriptors that run out because idle clients keep their connections.
func TestOldestIdleConnectionMakesRoom(t *testing.T) {
	is := is.New(t)
	b := newBudget(1<<20, 2, nil)
	unfinished, idle := mustConnect(t, b, false), mustConnect(t, b, false)
	is.True(unfinished.account.received())
	third := mustConnect(t, b, false)
	is.True(!idle.connected())
	is.True(unfinished.connected())
	is.True(unfinished.account.complete() == nil && third.account.complete() == nil)
	_, err := connect(b, false, 0)
	is.True(errors.Is(err, ErrExhausted)) // all requests are worked on
}

// Guards against memory that is given out again while a disconnected client still holds it.
func TestMemoryIsFreeOnceDisconnectedClientsHaveEnded(t *testing.T) {
	is := is.New(t)
	b := newBudget(2*connectionBytes+part, 10, nil)
	lingering, next := mustConnect(t, b, true), mustConnect(t, b, false)
	is.True(lingering.account.received())
	is.NoErr(lingering.account.hold(part))
	is.True(next.account.received())
	w, err := next.account.request(part)
	is.NoErr(err)
	is.True(w != nil)
	is.True(!lingering.connected())
	select {
	case <-w.done:
		t.Fatal("granted too early")
	case <-time.After(10 * time.Millisecond):
	}
	lingering.account.end()
	is.NoErr(<-w.done)
}

// Guards against newcomers that are refused because a crowd does not read its answers.
func TestStalledAnswersMakeRoom(t *testing.T) {
	is := is.New(t)
	b := newBudget(1<<20, 2, nil)
	stalled, idle := mustConnect(t, b, false), mustConnect(t, b, false)
	is.True(stalled.account.received())
	is.NoErr(stalled.account.complete())
	stalled.account.setStalled(true)
	mustConnect(t, b, false)
	is.True(!stalled.connected())
	is.True(idle.connected())
}

// Guards against newcomers that are refused while others' requests are worked on for a moment.
func TestNewcomerWaitsForWholeRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBudget(1<<20, 1, nil)
		whole := mustConnect(t, b, false)
		is.NoErr(whole.account.complete())
		time.AfterFunc(admitTime/2, whole.account.answered)
		next, err := connect(b, false, admitTime)
		is.NoErr(err)
		is.True(!whole.connected())
		is.NoErr(next.account.complete())
		_, err = connect(b, false, admitTime)
		is.True(errors.Is(err, ErrExhausted))
	})
}

// Guards against sums that drift from what the accounts hold, and against more memory than the limit.
func TestBudgetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxBytes, maxConnections = 8 * connectionBytes, 6
		b := newBudget(maxBytes, maxConnections, nil)
		var clients []*client
		var waits []*wait
		pick := func() *client { return clients[rapid.IntRange(0, len(clients)-1).Draw(t, "client")] }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			action := rapid.IntRange(0, 7).Draw(t, "action")
			if action == 0 || len(clients) == 0 {
				if c, err := connect(b, rapid.Bool().Draw(t, "lingers"), 0); err == nil {
					clients = append(clients, c)
				}
				continue
			}
			c := pick()
			switch action {
			case 1:
				c.account.received()
			case 2:
				if c.account.waiting == nil { // a connection has one reader
					if w, _ := c.account.request(rapid.Int64Range(1, maxBytes/2).Draw(t, "bytes")); w != nil {
						waits = append(waits, w)
					}
				}
			case 3:
				_ = c.account.complete()
			case 4:
				if c.account.waiting == nil {
					c.account.answered()
				}
			case 5:
				c.account.setStalled(rapid.Bool().Draw(t, "stalled"))
			default:
				c.account.end()
			}
			checkBudget(t, b, clients)
		}
		for _, c := range clients {
			c.account.end()
		}
		for _, w := range waits {
			<-w.done
		}
		if b.used != 0 || b.leaving != 0 || b.queued != 0 || b.connections != 0 || b.disconnecting != 0 {
			t.Fatalf("left over: %d %d %d %d %d", b.used, b.leaving, b.queued, b.connections, b.disconnecting)
		}
	})
}

func checkBudget(t *rapid.T, b *Budget, clients []*client) {
	used, leaving, connections, unfinished, queued := int64(0), int64(0), 0, 0, 0
	for _, c := range clients {
		a := c.account
		used += a.held
		switch {
		case a.ended && a.held != 0:
			t.Fatalf("an ended connection holds %d", a.held)
		case a.expelled:
			leaving += a.held
		case !a.ended:
			connections++
		}
		if a.list == &b.unfinished {
			unfinished++
		}
		if a.waiting != nil {
			queued++
		}
	}
	if used != b.used || leaving != b.leaving || connections != b.connections || unfinished != b.unfinished.Len() || queued != b.queue.Len() {
		t.Fatalf("sums differ: used %d %d, leaving %d %d, connections %d %d, unfinished %d %d, waiting %d %d",
			used, b.used, leaving, b.leaving, connections, b.connections, unfinished, b.unfinished.Len(), queued, b.queue.Len())
	}
	if b.used > b.maxBytes+b.leaving || b.used-b.leaving+b.queued > b.maxBytes || b.connections > b.maxConnections {
		t.Fatalf("over the limits: used %d, leaving %d, waiting for %d, connections %d", b.used, b.leaving, b.queued, b.connections)
	}
}
