package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/wal"
)

// ticksPerHeartbeat is the number of ticks in one heartbeat interval. A tick is
// the resolution of all timeouts.
const ticksPerHeartbeat = 2

// Host runs this VM's members of all groups on one control goroutine.
type Host struct {
	cfg     HostConfig
	tick    time.Duration
	lock    *wal.FolderLock
	groups  []*Group
	mailbox *mailbox

	mu      sync.Mutex // guards started and closed
	started bool
	closed  bool

	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{} // closed when the control goroutine has ended

	deliveredUntil time.Duration // control goroutine: reading of cfg.Clock up to which ticks were delivered
	fatal          error         // control goroutine: why the host stopped by itself, or nil
}

// NewHost returns a host without groups. It locks the data folder, if there is
// one, until Close.
func NewHost(cfg HostConfig) (*Host, error) {
	if err := cfg.setDefaults(); err != nil {
		return nil, err
	}
	h := &Host{
		cfg: cfg, tick: cfg.Heartbeat / ticksPerHeartbeat, mailbox: newMailbox(),
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
		return nil, errors.New("groups must be added before the replica host is started or closed")
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

// Start registers the groups with the messenger and starts the control goroutine.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.started || h.closed {
		return errors.New("replica host was already started or closed")
	}
	h.started = true
	for _, g := range h.groups {
		h.cfg.Messenger.Handle(g.channel, g.receive)
	}
	go h.run()
	return nil
}

// Do runs f on the control goroutine and waits until f returns. If the host is
// not running or stops first, Do returns and f may not have run. Do must not be
// called from the control goroutine.
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

// Close stops the host, waits for its goroutines and releases the data folder.
// Proposals in progress end with ErrOutcomeUnknown.
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

// Drain transfers the leadership of every group that this VM leads to another
// voter, so that no group loses its leader for an election timeout when Close
// follows, and waits for the outcomes of the proposals in progress, which the
// new leader decides. It tries all groups and returns all failures. Groups
// without another voter keep their leader.
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
	for _, g := range h.groups {
		if err := g.awaitProposals(ctx); err != nil {
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
	return running && h.mailbox.put(f)
}

// run is the body of the control goroutine.
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
	h.deliveredUntil = h.cfg.Clock()
	for h.fatal == nil {
		h.advanceGroups()
		select {
		case <-h.stop:
			return
		case <-h.mailbox.wake:
		case <-ticker.C:
		}
		// Queued messages are handled before ticks: after a stall they may show
		// that the leader is alive, and the missed ticks must not cause an
		// election before that.
		for _, f := range h.mailbox.take() {
			f()
		}
		h.deliverTicks()
	}
}

// deliverTicks delivers the ticks that are due to all groups. Time during which
// the process was frozen or the VM suspended counts, so that a leader steps
// down after a long suspension.
func (h *Host) deliverTicks() {
	due := int((h.cfg.Clock() - h.deliveredUntil) / h.tick)
	h.deliveredUntil += time.Duration(due) * h.tick
	// Twice the longest election timeout; more ticks have no further effect.
	maxTicks := 4 * int(h.cfg.Election/h.tick)
	for range min(due, maxTicks) {
		for _, g := range h.groups {
			g.tick()
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

// fail records a fatal error; the host stops after the current step.
func (h *Host) fail(err error) {
	if h.fatal == nil {
		h.fatal = err
	}
}

// shutDown refuses further calls and ends those in progress.
func (h *Host) shutDown() {
	h.requestStop()
	h.mailbox.close()
	for _, g := range h.groups {
		g.failAll(ErrStopped)
	}
}
