package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/wal"
)

// ticksPerHeartbeat is the resolution of timeouts.
const ticksPerHeartbeat = 2

// Host runs the members of all groups of a process.
type Host struct {
	cfg    HostConfig
	tick   time.Duration
	lock   *wal.FolderLock
	groups []*Group
	box    *mailbox

	mu      sync.Mutex // guards started and closed
	started bool
	closed  bool

	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{} // closed when the control goroutine has ended

	ticked time.Duration // control goroutine: time since boot up to which ticks were delivered
	fatal  error         // control goroutine
}

// NewHost returns a host. It takes the lock of the data folder.
func NewHost(cfg HostConfig) (*Host, error) {
	if err := cfg.setDefaults(); err != nil {
		return nil, err
	}
	h := &Host{
		cfg: cfg, tick: cfg.Heartbeat / ticksPerHeartbeat, box: newMailbox(),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	if cfg.DataFolder == "" {
		return h, nil
	}
	lock, err := wal.Lock(cfg.DataFolder)
	if err != nil {
		return nil, fmt.Errorf("lock data folder: %w", err)
	}
	h.lock = lock
	return h, nil
}

// AddGroup adds this VM's member of a group and recovers its state. It must be called before Start.
func (h *Host) AddGroup(cfg GroupConfig) (*Group, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.started || h.closed {
		return nil, errors.New("groups must be added before the host is started")
	}
	for _, g := range h.groups {
		if g.cfg.Name == cfg.Name {
			return nil, fmt.Errorf("group %q exists already", cfg.Name)
		}
	}
	g, err := newGroup(h, cfg)
	if err != nil {
		return nil, fmt.Errorf("group %q: %w", cfg.Name, err)
	}
	h.groups = append(h.groups, g)
	return g, nil
}

// Start starts the control goroutine.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.started || h.closed {
		return errors.New("host was started already")
	}
	h.started = true
	for _, g := range h.groups {
		h.cfg.Messenger.Handle(g.channel, g.receive)
	}
	go h.run()
	return nil
}

// Do runs f on the control goroutine and waits for it. It returns without
// running f if the host is not running. It must not be called from the control goroutine.
func (h *Host) Do(f func()) {
	finished := make(chan struct{})
	if !h.post(func() { f(); close(finished) }) {
		return
	}
	select {
	case <-finished:
	case <-h.done:
	}
}

// Close stops the host and waits for its goroutines. Proposals in progress end with ErrOutcomeUnknown.
func (h *Host) Close() error {
	h.mu.Lock()
	wasStarted, wasClosed := h.started, h.closed
	h.closed = true
	h.mu.Unlock()
	h.requestStop()
	if wasStarted {
		<-h.done
	}
	if wasClosed {
		return nil
	}
	var err error
	for _, g := range h.groups {
		err = errors.Join(err, g.storage.close())
	}
	if h.lock != nil {
		err = errors.Join(err, h.lock.Release())
	}
	return err
}

// Drain hands the leadership of every group that this VM leads to another
// voter, so that Close afterwards interrupts no group for an election timeout.
// It tries all groups and returns all failures. Groups without another voter
// are passed over.
func (h *Host) Drain(ctx context.Context) error {
	var failures error
	for _, g := range h.groups {
		if s := g.Status(); s.Role != RoleLeader || len(s.Voters) < 2 {
			continue
		}
		err := g.TransferLeadership(ctx)
		if err != nil && !errors.Is(err, ErrNotLeader{}) {
			failures = errors.Join(failures, fmt.Errorf("group %q: %w", g.cfg.Name, err))
		}
	}
	return failures
}

func (h *Host) requestStop() { h.stopOnce.Do(func() { close(h.stop) }) }

// post queues f for the control goroutine. It returns false if the host is not running.
func (h *Host) post(f func()) bool {
	h.mu.Lock()
	running := h.started && !h.closed
	h.mu.Unlock()
	return running && h.box.put(f)
}

// run is the control goroutine.
func (h *Host) run() {
	h.loop()
	h.shutDown()
	close(h.done)
	if h.fatal != nil {
		h.cfg.Logger.Error().Err(h.fatal).Msg("replica host stopped")
		h.cfg.OnFatal(h.fatal)
	}
}

func (h *Host) loop() {
	ticker := time.NewTicker(h.tick)
	defer ticker.Stop()
	h.ticked = h.cfg.Clock()
	for h.fatal == nil {
		h.advanceGroups()
		select {
		case <-h.stop:
			return
		case <-h.box.wake:
		case <-ticker.C:
		}
		// Queued messages come first: after a stall they may show that the
		// leader is alive, before the missed ticks let it time out.
		for _, f := range h.box.take() {
			f()
		}
		h.deliverTicks()
	}
}

// deliverTicks passes on the time that went by, including time for which the
// process was frozen or the VM suspended, so that leadership held before is given up.
func (h *Host) deliverTicks() {
	due := int((h.cfg.Clock() - h.ticked) / h.tick)
	h.ticked += time.Duration(due) * h.tick
	// Two longest election timeouts; more ticks have no further effect.
	most := 4 * int(h.cfg.Election/h.tick)
	for range min(due, most) {
		for _, g := range h.groups {
			g.tickOnce()
		}
	}
}

func (h *Host) advanceGroups() {
	for _, g := range h.groups {
		if h.fatal == nil {
			g.advance()
		}
	}
}

// fail makes the host stop after the current step.
func (h *Host) fail(err error) {
	if h.fatal == nil {
		h.fatal = err
	}
}

// shutDown ends all calls in progress.
func (h *Host) shutDown() {
	h.requestStop()
	h.box.close()
	for _, g := range h.groups {
		g.failAll(ErrStopped)
	}
}
