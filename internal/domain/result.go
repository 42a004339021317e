package domain

import (
	"fmt"
	"net/http"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
	"google.golang.org/protobuf/proto"
)

// Result is the result of one command. The messages in it must not be modified.
type Result struct {
	// Err is set if the command was refused; it then changed nothing.
	Err    *errs.Error
	Task   *pb.Task
	Worker *pb.Worker
	Record *pb.RequestRecord
	// Created is set if the command created the task or record, or registered the worker. It is not set if the task or
	// record existed already.
	Created bool
	// Batch holds one result per command of a batch, per placement or per eviction, in the order of the command.
	Batch []Result
}

func (r Result) proto() *pb.DomainResult {
	p := &pb.DomainResult{Task: r.Task, Worker: r.Worker, Record: r.Record, Created: r.Created}
	if r.Err != nil {
		p.Error = r.Err.Proto()
		p.Status = uint32(r.Err.Status)
	}
	for _, b := range r.Batch {
		p.Batch = append(p.Batch, b.proto())
	}
	return p
}

func resultFromProto(p *pb.DomainResult) Result {
	r := Result{Task: p.GetTask(), Worker: p.GetWorker(), Record: p.GetRecord(), Created: p.GetCreated()}
	if p.GetError() != nil {
		r.Err = errs.FromProto(int(p.GetStatus()), p.GetError())
	}
	for _, b := range p.GetBatch() {
		r.Batch = append(r.Batch, resultFromProto(b))
	}
	return r
}

// Encode returns the encoding in which the result of a forwarded proposal is sent back to the proposer.
func (r Result) Encode() []byte {
	encoded, err := proto.Marshal(r.proto())
	if err != nil { // possible only for a string that is not valid UTF-8
		encoded, _ = proto.Marshal(Result{Err: errs.ErrInternal.With("result cannot be encoded: %w", err)}.proto())
	}
	return encoded
}

// DecodeResult decodes a result that was encoded by Encode.
func DecodeResult(encoded []byte) (Result, error) {
	p := &pb.DomainResult{}
	if err := proto.Unmarshal(encoded, p); err != nil {
		return Result{}, fmt.Errorf("decode result of a domain command: %w", err)
	}
	return resultFromProto(p), nil
}

// Errors returned by domain commands.
var (
	ErrStaleEpoch = &errs.Error{Code: "stale-epoch", Status: http.StatusConflict, Outcome: errs.OutcomeNotRun,
		Message: "the worker has registered again since", Remedy: "register the worker again"}
	ErrStaleTerm = &errs.Error{Code: "stale-term", Status: http.StatusConflict, Outcome: errs.OutcomeNotRun,
		Message: "another leader may have renewed the leases since", Remedy: "none; the present leader counts the leases"}
	ErrPlacement = &errs.Error{Code: "placement-refused", Status: http.StatusConflict, Outcome: errs.OutcomeNotRun,
		Message: "the placement no longer fits the state", Remedy: "plan again"}
	ErrNotRunning = &errs.Error{Code: "not-running", Status: http.StatusConflict, Outcome: errs.OutcomeNotRun,
		Message: "the attempt does not run", Remedy: "look at the state of the task"}
	ErrKeyReused = &errs.Error{Code: "key-reused", Status: http.StatusConflict, Outcome: errs.OutcomeNotRun,
		Message: "the idempotency key was used for something else", Remedy: "use a new key for a new request"}
	ErrTooManyRecords = &errs.Error{Code: "too-many-records", Status: http.StatusTooManyRequests, Outcome: errs.OutcomeNotRun,
		Message: "the limit of request records is reached", Remedy: "retry later with the same key; records are kept for 24 h"}
	ErrTooManyTasks = &errs.Error{Code: "too-many-tasks", Status: http.StatusTooManyRequests, Outcome: errs.OutcomeNotRun,
		Message: "the limit of tasks is reached", Remedy: "retry later with the same key, or cancel queued tasks"}
	ErrNotSender = &errs.Error{Code: "not-sender", Status: http.StatusConflict, Outcome: errs.OutcomeNotRun,
		Message: "only the sender of a request may commit its outcome", Remedy: "ask again with the same idempotency key"}
)
