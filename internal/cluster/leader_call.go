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
	// leaderSearchTimeout is the time after which no further round of calls to the hosts of a group begins. It leaves
	// time for two elections of up to 600 ms.
	leaderSearchTimeout = 3 * time.Second
	// leaderRetryInterval is the pause after a round in which no host of the group executed the call.
	leaderRetryInterval = 50 * time.Millisecond
)

// errNotLeader is returned to other entry VMs if this one does not lead the group. Its message is the id of the
// leader, or empty if unknown.
var errNotLeader = &errs.Error{Code: "not-leader", Status: http.StatusServiceUnavailable, Outcome: errs.OutcomeNotRun}

// errUnreachable is returned if a request could not be sent.
var errUnreachable = &errs.Error{Code: "owner-unreachable", Status: http.StatusServiceUnavailable, Outcome: errs.OutcomeNotRun,
	Message: "no entry VM of the group can be reached", Remedy: "retry with the same idempotency key when the failure domain is reachable again"}

// callKind tells when a call may be made again and what its errors mean.
type callKind int

const (
	// callOnlyOnce changes state and is made again only after an error that means it was not executed.
	callOnlyOnce callKind = iota
	// callRepeatable changes state and may be made again after its first outcome is unknown.
	callRepeatable
	// callReadOnly changes nothing.
	callReadOnly
)

// callLeader calls the leader of a group. It tries the hosts of the group until one executes the call or leaderSearchTimeout has passed. An error
// says that a change was not made only if no attempt may have made it.
func (c *Cluster) callLeader(ctx context.Context, group, method string, req, resp proto.Message, kind callKind) error {
	bounded, cancel := context.WithTimeout(ctx, leaderSearchTimeout)
	defer cancel()
	var search searchResult
	for {
		for _, host := range c.candidates(group) {
			err := c.callHost(ctx, group, host, method, req, resp)
			if err == nil {
				return nil
			}
			if !mayTryNextHost(err) {
				return search.refusal(err, kind)
			}
			search.add(err)
			if search.outcomeUnknown && kind == callOnlyOnce {
				return err
			}
		}
		select {
		case <-bounded.Done():
			return search.err(group)
		case <-time.After(leaderRetryInterval):
		}
	}
}

// callHost calls a host. If the host names another leader, it calls that VM once.
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

// callOnce makes one call and converts the errors of the transport.
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

// mayTryNextHost reports whether the call may succeed on another host of the group. A host does not know the method while
// it starts.
func mayTryNextHost(err error) bool {
	return errors.Is(err, errNotLeader) || errors.Is(err, errUnreachable) || errors.Is(err, errs.ErrOutcomeUnknown) ||
		errors.Is(err, errs.ErrDraining) || errors.Is(err, peer.ErrUnknownMethod)
}

// searchResult records why no host of a group has executed a call so far.
type searchResult struct {
	outcomeUnknown bool // a host may have executed the call
	answered       bool // a host answered that it does not lead the group
	last           error
}

func (r *searchResult) add(err error) {
	r.last = err
	r.outcomeUnknown = r.outcomeUnknown || errs.From(err).Outcome == errs.OutcomeUnknown
	r.answered = r.answered || errors.Is(err, errNotLeader)
}

// refusal returns the error of a host that has not executed the call, for the caller. An earlier host may have executed a change.
func (r *searchResult) refusal(err error, kind callKind) error {
	typed := errs.From(err)
	if kind == callReadOnly || !r.outcomeUnknown || typed.Outcome != errs.OutcomeNotRun {
		return err
	}
	refusal := typed.WithUnknownOutcome()
	refusal.Message += "; this attempt was not run, an earlier one may have been"
	return refusal
}

func (r *searchResult) err(group string) error {
	switch {
	case r.outcomeUnknown:
		return errs.ErrOutcomeUnknown.With("group %s did not answer: %w", group, r.last)
	case r.answered:
		return errs.ErrNoQuorum.With("group %s has no leader that this entry VM can reach", group)
	default:
		return errUnreachable.With("no host of group %s can be reached: %w", group, r.last)
	}
}

// candidates returns the hosts of a group, with the last known leader first.
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

// hosted returns the group if this process hosts it, else nil.
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

// toWireError converts the errors of a replicated group to errors that are sent
// to other entry VMs.
func toWireError(err error) error {
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
