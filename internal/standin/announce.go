package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	announceTimeout = time.Second
	announcePath    = "/v1/targets/announce"
	// leaseMarginPercent is added to the lease before the executor announces itself to another entry VM.
	leaseMarginPercent = 10
	defaultLease       = 2 * time.Second
	maxAnswerBytes     = 1 << 20
	drainPollInterval  = 10 * time.Millisecond
	// retryDelay is the shortest time between announcements while no entry VM answers.
	retryDelay = 100 * time.Millisecond
	// drainGrace allows for requests that were in transit when the entry VM received the drain announcement.
	drainGrace = 200 * time.Millisecond
)

// session holds the executor's state of its lease and the entry VMs that it can use.
type session struct {
	vms     []string
	current int
	nonce   string
	lease   time.Duration
	// lastSent is when the last announcement that may have renewed the lease was sent.
	lastSent time.Time
}

// Run announces the executor until ctx ends, then drains it and stops. It returns an error if requests
// are still in flight after the drain timeout.
func (e *Executor) Run(ctx context.Context) error {
	if e.listener == nil {
		if err := e.Listen(); err != nil {
			return err
		}
	}
	s := &session{vms: normalizeURLs(e.options.EntryVMs), lease: defaultLease}
	if len(s.vms) == 0 {
		return fmt.Errorf("executor %s: no entry VMs configured", e.options.ID)
	}
	for ctx.Err() == nil && !e.isStopped() {
		e.pause(ctx, e.announce(ctx, s))
	}
	if e.isStopped() {
		return fmt.Errorf("executor %s was closed", e.options.ID)
	}
	return e.drain(s)
}

// pause waits for d, or until ctx ends or the executor is closed.
func (e *Executor) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-e.stopped:
	}
}

// announce sends one announcement and returns the time to wait before the next.
func (e *Executor) announce(ctx context.Context, s *session) time.Duration {
	sentAt := time.Now()
	answer, err := e.sendAnnouncement(ctx, s)
	if err != nil {
		e.options.Logger.Warn().Str("executor", e.options.ID).Str("vm", s.vms[s.current]).Err(err).Msg("announcement failed")
		// Only an announcement that echoes a nonce may have renewed a lease.
		if s.nonce != "" {
			s.lastSent = sentAt
		}
		s.current = (s.current + 1) % len(s.vms)
		s.nonce = ""
		return max(s.lease*(100+leaseMarginPercent)/100-time.Since(s.lastSent), retryDelay)
	}
	s.lastSent = sentAt
	return e.applyAnswer(s, answer)
}

func (e *Executor) applyAnswer(s *session, answer *pb.AnnouncementAnswer) time.Duration {
	if answer.Drain {
		e.beginDrain()
	}
	if answer.LeaseMs > 0 {
		s.lease = time.Duration(answer.LeaseMs) * time.Millisecond
	}
	s.nonce = answer.Nonce
	e.setHolder(answer.Holder)
	s.setEntryVMs(normalizeURLs(answer.EntryVms))
	if answer.MoveTo != "" {
		// The entry VM has released the lease, so the executor need not wait for it to expire.
		s.moveTo(normalizeURLs([]string{answer.MoveTo})[0])
		e.mu.Lock()
		e.stats.Moves++
		e.mu.Unlock()
		return 0
	}
	return time.Duration(answer.IntervalMs) * time.Millisecond
}

// setEntryVMs replaces the list of entry VMs and keeps the current one selected.
func (s *session) setEntryVMs(vms []string) {
	if len(vms) == 0 {
		return
	}
	current := s.vms[s.current]
	s.vms = vms
	s.current = indexOrAppend(&s.vms, current)
}

func (s *session) moveTo(vm string) {
	s.current = indexOrAppend(&s.vms, vm)
	s.nonce = ""
}

// indexOrAppend returns the index of vm, which it appends if it is missing.
func indexOrAppend(vms *[]string, vm string) int {
	for i, other := range *vms {
		if other == vm {
			return i
		}
	}
	*vms = append(*vms, vm)
	return len(*vms) - 1
}

func (e *Executor) setHolder(holder string) {
	e.mu.Lock()
	changed := e.holder != holder
	e.holder = holder
	e.mu.Unlock()
	if changed {
		e.closeIdleConns()
	}
}

func normalizeURLs(vms []string) []string {
	list := make([]string, 0, len(vms))
	for _, vm := range vms {
		if !strings.Contains(vm, "://") {
			vm = "http://" + vm
		}
		list = append(list, strings.TrimSuffix(vm, "/"))
	}
	return list
}

func (e *Executor) announcement(s *session) *pb.Announcement {
	a := &pb.Announcement{Id: e.options.ID, FailureDomain: e.options.Domain, Rack: e.options.Rack, Service: e.options.Service}
	a.Address = e.Address()
	a.Slots = e.options.Slots
	a.Connections = e.options.Connections
	a.Nonce = s.nonce
	a.Draining = e.draining.Load()
	a.Instance = e.instance
	// This includes requests that the sender may have abandoned: an executor cannot detect that on a connection
	// that transfers no data.
	a.InFlight = uint32(e.InFlight())
	return a
}

func (e *Executor) sendAnnouncement(ctx context.Context, s *session) (*pb.AnnouncementAnswer, error) {
	body, err := protojson.Marshal(e.announcement(s))
	if err != nil {
		return nil, fmt.Errorf("encode announcement: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.vms[s.current]+announcePath, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("announce: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+e.options.Token)
	resp, err := e.options.Client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("announce: %w", err)
	}
	defer resp.Body.Close()
	return readAnswer(resp)
}

func readAnswer(resp *http.Response) (*pb.AnnouncementAnswer, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("read answer to announcement: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("announcement refused with status %d: %.200s", resp.StatusCode, data)
	}
	answer := &pb.AnnouncementAnswer{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, answer); err != nil {
		return nil, fmt.Errorf("decode answer to announcement: %w", err)
	}
	return answer, nil
}

func (e *Executor) beginDrain() {
	if e.draining.Swap(true) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.DrainBegan = time.Now()
}

// drain announces that the executor is draining, waits for the requests in flight and closes the port. If the
// announcement fails, it first waits until the lease has expired.
func (e *Executor) drain(s *session) error {
	e.beginDrain()
	ctx, cancel := context.WithTimeout(context.Background(), e.options.DrainTimeout)
	defer cancel()
	if _, err := e.sendAnnouncement(ctx, s); err != nil && s.nonce != "" {
		e.pause(ctx, s.lease-time.Since(s.lastSent))
	}
	e.pause(ctx, drainGrace)
	for e.InFlight() > 0 && ctx.Err() == nil && !e.isStopped() {
		e.pause(ctx, drainPollInterval)
	}
	if err := e.server.Shutdown(ctx); err != nil {
		_ = e.server.Close()
		return fmt.Errorf("executor %s had %d requests in flight after %v: %w", e.options.ID, e.InFlight(), e.options.DrainTimeout, err)
	}
	return nil
}

func (e *Executor) isStopped() bool {
	select {
	case <-e.stopped:
		return true
	default:
		return false
	}
}
