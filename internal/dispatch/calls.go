// Package dispatch carries out on workers what the state of submissions asks for. Only the leader of the control VMs
// runs it: it plans starts, commits them, calls the workers, renews their leases, collects the ends of tasks and takes
// work back from workers that are lost.
package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Target is the life of a worker that a call is meant for, and the leader's fencing token.
type Target struct {
	Incarnation submission.Incarnation
	Address     string
	// FailureDomain is that of the worker.
	FailureDomain string
	Fence         uint64
}

// StartCall asks a worker to start an attempt.
type StartCall struct {
	Target
	Task       submission.Ref
	Attempt    uint32
	Payload    string
	Checkpoint string
	// LeaseUntilMs is a time on the worker's clock until which everything there may run.
	LeaseUntilMs int64
	// Ticket of the policy service; empty if the queue needs none.
	Ticket string
}

// StopCall asks a worker to stop an attempt, or never to start it.
type StopCall struct {
	Target
	Task    submission.Ref
	Attempt uint32
}

// ThrottleCall limits an attempt to a share of its speed.
type ThrottleCall struct {
	Target
	Task    submission.Ref
	Attempt uint32
	Percent int
}

// HoldCall renews the lease of a worker, forgets the ends up to SeenEnd and returns what runs and has ended there.
type HoldCall struct {
	Target
	// LeaseUntilMs is 0 if the worker's clock is not known yet.
	LeaseUntilMs int64
	SeenEnd      uint64
	// WaitMs is how long the worker may wait for an end before it answers.
	WaitMs int64
}

// Running is an attempt that runs.
type Running struct {
	Task       submission.Ref
	Attempt    uint32
	Checkpoint string
	// Percent of the work that is done; for endless tasks 100 once they are at work.
	Percent float64
	// Figure is a rough reading of the last half second: for a task with a tail limit its tail latency in ms, for any
	// other the millicores in use.
	Figure float64
}

// Ended is an attempt that ended.
type Ended struct {
	// Number counts the ends of one life of the worker from 1.
	Number     uint64
	Task       submission.Ref
	Attempt    uint32
	Kind       pb.TaskEndKind
	Checkpoint string
}

// HoldAnswer is what runs and has ended on a worker.
type HoldAnswer struct {
	ClockMs    int64
	BornUnixMs int64
	Running    []Running
	Ended      []Ended
}

// Caller makes calls to workers. A call that returns ErrNoAnswer may have been carried out, or may be later.
// The answer to Start, Stop and Throttle is the worker's clock in ms.
type Caller interface {
	Start(ctx context.Context, c StartCall) (clockMs int64, err error)
	Stop(ctx context.Context, c StopCall) (clockMs int64, err error)
	Throttle(ctx context.Context, c ThrottleCall) (clockMs int64, err error)
	Hold(ctx context.Context, c HoldCall) (HoldAnswer, error)
}

// Adviser asks the policy service which workers may run a step.
type Adviser interface {
	// Advise returns the tickets of the workers that may run the step, by worker id, and how long they are valid.
	// ErrUnwell means that the service is busy; try again later.
	Advise(ctx context.Context, step submission.Ref, workers []string) (tickets map[string]string, valid time.Duration, err error)
}

// Platform changes the VMs on which workers run.
type Platform interface {
	// VMs returns the VMs of all pools.
	VMs(ctx context.Context) ([]VM, error)
	// Upkeep begins the upkeep of a VM for a wave. Everything that runs there ends. A repeat is acknowledged.
	Upkeep(ctx context.Context, vm string, wave uint64, holder string, fence uint64) error
}

// VM is a VM of a pool.
type VM struct {
	ID, Pool string
	// Up is false while the VM is being moved or maintained, or is down.
	Up bool
	// Worker is the id of the worker that runs there.
	Worker string
}

// ErrBusy means that the platform cannot carry out an order now, for instance because the VM is not up.
var ErrBusy = errors.New("the platform cannot carry out the order now; try again later")

// Errors of a Caller. All but ErrNoAnswer and ErrUnwell mean that the call had no effect, apart from the lease that a start
// renews.
var (
	ErrNoAnswer = errors.New("the worker did not answer; the call may have been or may yet be carried out")
	// ErrFenced means that a newer leader has called the worker.
	ErrFenced = errors.New("a newer leader has called the worker; this one must stop")
	// ErrOldAttempt means that the attempt, or a later one of the task, was stopped or has ended there.
	ErrOldAttempt = errors.New("the attempt is not newer than one that was stopped or ended there")
	// ErrLeaseOver means that the lease named in the call is over on the worker's clock.
	ErrLeaseOver = errors.New("the lease in the call is over on the worker's clock; read the clock and try again")
	ErrNoRoom    = errors.New("the worker has no room for the task; place it elsewhere")
	ErrNoTicket  = errors.New("the policy service's ticket is missing or has run out; ask for a new one")
	// ErrUnavailable means that the worker says it refuses work because it is not well. It may have carried out the call.
	ErrUnavailable = errors.New("the worker is not well; place the task elsewhere")
	// ErrOtherIncarnation means that the worker at the address is another life.
	ErrOtherIncarnation = errors.New("the address belongs to another life of a worker")
	ErrMalformed        = errors.New("the worker refuses the call as malformed")
)
