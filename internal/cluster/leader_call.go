package cluster

import (
	"context"
	"errors"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/peer"
	"github.com/lentilyard/lentilyard/internal/replica"
)

const (
	// leaderWait bounds the search for a leader. It covers an election of up to 600 ms and a second one.
	leaderWait = 3 * time.Second
	// leaderRetry is the pause after no host of the group could answer.
	leaderRetry = 50 * time.Millisecond
)

// errNotLeader is returned between entry VMs. Its message is the id of the leader, or empty.
var errNotLeader = &errs.Error{Code: "not-leader", Status: http.StatusServiceUnavailable, Outcome: errs.OutcomeNotRun}

var errUnreachable = &errs.Error{Code: "owner-unreachable", Status: http.StatusServiceUnavailable, Outcome: errs.OutcomeNotRun,
	Message: "no entry VM of the group can be reached", Remedy: "retry with the same idempotency key when the failure domain is reachable again"}

// repeatable says whether a call may be made again when its first outcome is unknown.
type repeatable bool

// callLeader makes a call to the leader of a group, looking for it among the
// group's hosts. A call that is not repeatable is made again only after a
// definite failure.
func (c *Cluster) callLeader(ctx context.Context, group, method string, req, resp proto.Message, again repeatable) error {
	bounded, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	var search searchResult
	for {
		for _, host := range c.candidates(group) {
			err := c.callHost(ctx, group, host, method, req, resp)
			if err == nil {
				return nil
			}
			if !isSearchError(err) {
				return err
			}
			search.note(err)
			if search.unknown && !bool(again) {
				return err
			}
		}
		select {
		case <-bounded.Done():
			return search.failure(group)
		case <-time.After(leaderRetry):
		}
	}
}

// callHost calls one host and follows one hint to the leader.
func (c *Cluster) callHost(ctx context.Context, group, host, method string, req, resp proto.Message) error {
	err := c.callOnce(ctx, host, method, req, resp)
	if errors.Is(err, errNotLeader) {
		if hint := errs.From(err).Message; hint != "" && hint != host {
			host = hint
			err = c.callOnce(ctx, host, method, req, resp)
		}
	}
	if err == nil {
		c.rememberLeader(group, host)
	}
	return err
}

func (c *Cluster) callOnce(ctx context.Context, to, method string, req, resp proto.Message) error {
	err := c.transport.Call(ctx, to, method, req, resp)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, peer.ErrNotSent):
		return errUnreachable.With("entry VM %s: %w", to, err)
	case errors.Is(err, peer.ErrNoAnswer):
		return errs.ErrOutcomeUnknown.With("entry VM %s: %w", to, err)
	}
	return err
}

// isSearchError reports whether another host of the group may succeed.
func isSearchError(err error) bool {
	return errors.Is(err, errNotLeader) || errors.Is(err, errUnreachable) || errors.Is(err, errs.ErrOutcomeUnknown) ||
		errors.Is(err, errs.ErrDraining)
}

// searchResult sums up why no host of a group carried out a call.
type searchResult struct {
	unknown bool // some host may have carried it out
	reached bool // some host answered that it does not lead
	last    error
}

func (r *searchResult) note(err error) {
	r.last = err
	r.unknown = r.unknown || errs.From(err).Outcome == errs.OutcomeUnknown
	r.reached = r.reached || errors.Is(err, errNotLeader)
}

func (r *searchResult) failure(group string) error {
	switch {
	case r.unknown:
		return errs.ErrOutcomeUnknown.With("group %s did not answer: %w", group, r.last)
	case r.reached:
		return errs.ErrNoQuorum.With("group %s has no leader that this entry VM can reach", group)
	default:
		return errUnreachable.With("no host of group %s can be reached: %w", group, r.last)
	}
}

// candidates returns the hosts of a group, the most likely leader first.
func (c *Cluster) candidates(group string) []string {
	first := c.knownLeader(group)
	ordered := make([]string, 0, len(c.hosts[group])+1)
	if first != "" {
		ordered = append(ordered, first)
	}
	for _, host := range c.hosts[group] {
		if host != first {
			ordered = append(ordered, host)
		}
	}
	return ordered
}

func (c *Cluster) knownLeader(group string) string {
	if hosted := c.hosted(group); hosted != nil {
		return hosted.Status().Leader
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaders[group]
}

func (c *Cluster) rememberLeader(group, vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaders[group] = vm
}

// hosted returns the group if this process holds its log, else nil.
func (c *Cluster) hosted(group string) Group {
	if group == ConfigGroup {
		return c.config
	}
	for name, hosted := range c.domains {
		if DomainGroup(name) == group {
			return hosted.Group
		}
	}
	return nil
}

// fromReplica converts the errors of a group to typed errors for the wire.
func fromReplica(err error) error {
	var notLeader replica.ErrNotLeader
	switch {
	case err == nil:
		return nil
	case errors.As(err, &notLeader):
		return errNotLeader.With("%s", notLeader.Leader)
	case errors.Is(err, replica.ErrNotCommitted):
		return errNotLeader.With("")
	case errors.Is(err, replica.ErrOutcomeUnknown):
		return errs.ErrOutcomeUnknown.With("%w", err)
	case errors.Is(err, replica.ErrStopped):
		return errs.ErrDraining
	}
	return err
}
