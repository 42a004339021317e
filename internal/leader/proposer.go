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

// Limits of one log entry. Commands that arrive while an entry is being committed share the next one.
const (
	maxBatchCommands = 1024
	maxBatchBytes    = 1 << 20
)

type pending struct {
	command *pb.DomainCommand
	size    int
	done    chan proposed
}

type proposed struct {
	result domain.Result
	err    error
}

// proposer commits commands in batches: the cost of a wave of commands is that of a few entries.
type proposer struct {
	log   Log
	queue chan pending
	stop  chan struct{} // closed when run ends
}

func newProposer(log Log) *proposer {
	return &proposer{log: log, queue: make(chan pending, maxBatchCommands), stop: make(chan struct{})}
}

// propose commits one command. If ctx ends first, the outcome is unknown.
func (p *proposer) propose(ctx context.Context, command *pb.DomainCommand) (domain.Result, error) {
	one := pending{command: command, size: proto.Size(command), done: make(chan proposed, 1)}
	select {
	case p.queue <- one:
	case <-p.stop:
		return domain.Result{}, errStopped
	case <-ctx.Done():
		return domain.Result{}, errs.ErrNoQuorum.With("command was not proposed in time: %w", ctx.Err())
	}
	select {
	case answer := <-one.done:
		return answer.result, answer.err
	case <-p.stop:
		return domain.Result{}, errUnknown.With("the leader stopped while the command was being committed")
	case <-ctx.Done():
		return domain.Result{}, errUnknown.With("command may be committed later: %w", ctx.Err())
	}
}

// run commits queued commands until ctx ends.
func (p *proposer) run(ctx context.Context) {
	defer close(p.stop)
	for {
		select {
		case first := <-p.queue:
			p.commit(ctx, p.collect(first))
		case <-ctx.Done():
			return
		}
	}
}

func (p *proposer) collect(first pending) []pending {
	batch := []pending{first}
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

func (p *proposer) commit(ctx context.Context, batch []pending) {
	commands := make([]*pb.DomainCommand, len(batch))
	for i, one := range batch {
		commands[i] = one.command
	}
	result, err := commitEntry(ctx, p.log, &pb.DomainCommand{Command: &pb.DomainCommand_Batch{Batch: &pb.CommandBatch{Commands: commands}}})
	if err == nil && len(result.Batch) != len(batch) {
		err = fmt.Errorf("entry with %d commands has %d results: %w", len(batch), len(result.Batch), result.Err)
	}
	for i, one := range batch {
		answer := proposed{err: err}
		if err == nil {
			answer.result = result.Batch[i]
		}
		one.done <- answer
	}
}

// commitEntry proposes one entry, stamped with the wall clock, and returns the result of the state machine.
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
		return domain.Result{}, fmt.Errorf("the log returned a result of type %T", answer)
	}
}
