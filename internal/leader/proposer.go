package leader

import (
	"context"
	"fmt"
	"time"

	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
	"google.golang.org/protobuf/proto"
)

// Limits of one log entry. A batch is closed once it reaches one of them; the last command may exceed maxBatchBytes.
const (
	maxBatchCommands = 1024
	maxBatchBytes    = 1 << 20
)

// pendingCommand is a command that waits to be committed.
type pendingCommand struct {
	command *pb.DomainCommand
	size    int // encoded size in bytes
	done    chan proposalResult
}

type proposalResult struct {
	result domain.Result
	err    error
}

// proposer commits commands in batches. Commands that arrive while an entry is being committed share the next entry, so
// that a burst of commands costs only a few entries.
type proposer struct {
	log     Log
	queue   chan pendingCommand
	stopped chan struct{} // closed when run returns
}

func newProposer(log Log) *proposer {
	return &proposer{log: log, queue: make(chan pendingCommand, maxBatchCommands), stopped: make(chan struct{})}
}

// propose commits one command and returns its result. If ctx is done after the command was queued, the outcome is
// unknown: the command may still be committed.
func (p *proposer) propose(ctx context.Context, command *pb.DomainCommand) (domain.Result, error) {
	pending := pendingCommand{command: command, size: proto.Size(command), done: make(chan proposalResult, 1)}
	select {
	case p.queue <- pending:
	case <-p.stopped:
		return domain.Result{}, errStopped
	case <-ctx.Done():
		return domain.Result{}, errs.ErrNoQuorum.With("command was not proposed in time: %w", ctx.Err())
	}
	select {
	case answer := <-pending.done:
		return answer.result, answer.err
	case <-p.stopped:
		return domain.Result{}, errOutcomeUnknown.With("the leader stopped while the command was being committed")
	case <-ctx.Done():
		return domain.Result{}, errOutcomeUnknown.With("command may be committed later: %w", ctx.Err())
	}
}

// run commits queued commands until ctx is done.
func (p *proposer) run(ctx context.Context) {
	defer close(p.stopped)
	for {
		select {
		case first := <-p.queue:
			p.commit(ctx, p.collect(first))
		case <-ctx.Done():
			return
		}
	}
}

// collect returns a batch of first and the commands that are already queued, without waiting for more.
func (p *proposer) collect(first pendingCommand) []pendingCommand {
	batch := []pendingCommand{first}
	size := first.size
	for len(batch) < maxBatchCommands && size < maxBatchBytes {
		select {
		case next := <-p.queue:
			batch = append(batch, next)
			size += next.size
		default:
			return batch
		}
	}
	return batch
}

// commit commits a batch as one entry and passes each caller its result.
func (p *proposer) commit(ctx context.Context, batch []pendingCommand) {
	commands := make([]*pb.DomainCommand, len(batch))
	for i, pending := range batch {
		commands[i] = pending.command
	}
	result, err := commitEntry(ctx, p.log, &pb.DomainCommand{Command: &pb.DomainCommand_Batch{Batch: &pb.CommandBatch{Commands: commands}}})
	if err == nil && len(result.Batch) != len(batch) {
		err = fmt.Errorf("committed entry with %d commands returned %d results: %w", len(batch), len(result.Batch), result.Err)
	}
	for i, pending := range batch {
		answer := proposalResult{err: err}
		if err == nil {
			answer.result = result.Batch[i]
		}
		pending.done <- answer
	}
}

// commitEntry sets the command's timestamp to the current time, commits it as one entry and returns the result of the
// state machine.
func commitEntry(ctx context.Context, log Log, command *pb.DomainCommand) (domain.Result, error) {
	command.UnixMs = time.Now().UnixMilli()
	entry, err := proto.Marshal(command)
	if err != nil {
		return domain.Result{}, fmt.Errorf("encode domain command: %w", err)
	}
	answer, err := log.Propose(ctx, entry)
	if err != nil {
		return domain.Result{}, err
	}
	switch r := answer.(type) {
	case domain.Result:
		return r, nil
	case []byte:
		return domain.DecodeResult(r)
	default:
		return domain.Result{}, fmt.Errorf("domain log returned a result of unexpected type %T", answer)
	}
}
