package cluster

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// Begin commits, in the domain group of this entry VM, the intent to send a
// non-idempotent request. It returns the record of the request and whether this
// call created it.
func (c *Cluster) Begin(ctx context.Context, record *pb.RequestRecord) (*pb.RequestRecord, bool, error) {
	request := &pb.IntentRequest{FailureDomain: c.domain, Record: record}
	answer := new(pb.IntentAnswer)
	// Not repeatable: after an unknown outcome, a second call could find the record
	// of the first one and report it as not created by this call.
	if err := c.callLeader(ctx, DomainGroup(c.domain), methodIntent, request, answer, callOnlyOnce); err != nil {
		return nil, false, err
	}
	return answer.Record, answer.Created, nil
}

// Finish commits the outcome of a non-idempotent request that Begin has recorded.
func (c *Cluster) Finish(ctx context.Context, outcome *pb.CommitOutcome) error {
	request := &pb.OutcomeRequest{FailureDomain: c.domain, Outcome: outcome}
	return c.callLeader(ctx, DomainGroup(c.domain), methodOutcome, request, new(pb.Empty), callRepeatable)
}

func (c *Cluster) handleIntent(ctx context.Context, req *pb.IntentRequest) (proto.Message, error) {
	result, err := c.proposeDomain(ctx, req.FailureDomain, &pb.DomainCommand{
		Command: &pb.DomainCommand_CommitIntent{CommitIntent: &pb.CommitIntent{Record: req.Record}}})
	if err != nil {
		return nil, err
	}
	return &pb.IntentAnswer{Record: result.Record, Created: result.Created}, nil
}

func (c *Cluster) handleOutcome(ctx context.Context, req *pb.OutcomeRequest) (proto.Message, error) {
	_, err := c.proposeDomain(ctx, req.FailureDomain, &pb.DomainCommand{
		Command: &pb.DomainCommand_CommitOutcome{CommitOutcome: req.Outcome}})
	if err != nil {
		return nil, err
	}
	return &pb.Empty{}, nil
}

// proposeDomain commits one command in a domain group that this entry VM leads.
func (c *Cluster) proposeDomain(ctx context.Context, failureDomain string, command *pb.DomainCommand) (domain.Result, error) {
	hosted, err := c.ledDomain(failureDomain)
	if err != nil {
		return domain.Result{}, err
	}
	command.UnixMs = nowUnixMs()
	entry, err := proto.Marshal(command)
	if err != nil {
		return domain.Result{}, errs.ErrInternal.With("encode command: %w", err)
	}
	applied, err := hosted.Group.Propose(ctx, entry)
	if err != nil {
		return domain.Result{}, err
	}
	result := applied.(domain.Result)
	if result.Err != nil {
		return domain.Result{}, result.Err
	}
	return result, nil
}
