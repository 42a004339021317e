package cluster

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/peer"
)

// startingTransport reaches entry VMs of which one accepts connections, but has not registered its handlers yet.
type startingTransport struct {
	starting string
	called   []string
}

func (f *startingTransport) Call(_ context.Context, to, method string, _, _ proto.Message) error {
	f.called = append(f.called, to)
	if to == f.starting {
		return peer.ErrUnknownMethod.With("entry VM %q does not know the method %q", to, method)
	}
	return nil
}

func (f *startingTransport) HandleCall(string, func(context.Context, string, []byte) (proto.Message, error)) {
}

func (f *startingTransport) Reachable(string) bool { return true }

// newTestCluster returns the cluster of an entry VM outside of the failure domain a, which vm-a1 and vm-a2 host.
func newTestCluster(transport Transport) *Cluster {
	return New(Config{VM: "vm-b1", Domain: "a", Transport: transport, Settings: &pb.Settings{
		EntryVms:       []*pb.EntryVM{{Id: "vm-a1", FailureDomain: "a"}, {Id: "vm-a2", FailureDomain: "a"}},
		FailureDomains: []*pb.FailureDomain{{Name: "a", Voters: []string{"vm-a1", "vm-a2"}}},
	}})
}

// Guards against a request whose outcome is reported as unknown because the last known leader of the group restarts: its
// transport answers before the handlers are registered, and the search for the leader ended there.
func TestSearchForTheLeaderPassesOverAStartingHost(t *testing.T) {
	is := is.New(t)
	transport := &startingTransport{starting: "vm-a1"}
	c := newTestCluster(transport)
	defer c.Close()
	_, _, err := c.Begin(t.Context(), &pb.RequestRecord{})
	is.NoErr(err)
	is.NoErr(c.Finish(t.Context(), &pb.CommitOutcome{}))
	is.Equal(transport.called, []string{"vm-a1", "vm-a2", "vm-a2"}) // the leader is remembered
}

// refusingTransport reaches entry VMs of which the first executes calls without answering and the others refuse them.
type refusingTransport struct{ startingTransport }

func (f *refusingTransport) Call(_ context.Context, to, method string, _, _ proto.Message) error {
	if to == "vm-a1" {
		return fmt.Errorf("%w: %s", peer.ErrNoAnswer, method)
	}
	return errs.ErrNotFound.With("not known to %q", to)
}

// Guards against a change that is reported as not run because a new leader refuses it, although the former leader executed an attempt and did not answer.
func TestRefusalByTheNextHostLeavesTheOutcomeOfAChangeUnknown(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(&refusingTransport{})
	defer c.Close()
	_, err := c.CancelTask(t.Context(), "a/1", "test")
	is.True(errors.Is(err, errs.ErrNotFound))
	is.Equal(errs.From(err).Outcome, errs.OutcomeUnknown)
	_, err = c.Task(t.Context(), "a/1")
	is.True(errors.Is(err, errs.ErrNotFound))
	is.Equal(errs.From(err).Outcome, errs.OutcomeNotRun) // a read
}
