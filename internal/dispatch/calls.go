// Package dispatch runs the tasks of submissions on workers. It is active only on the control VM that leads. The leader
// plans which worker runs which task, commits each start to the replicated log before it calls the worker, renews the
// workers' leases, commits the ends of tasks and reschedules the tasks of workers that it can no longer reach.
//
// Terms used throughout the package: an attempt is one execution of a task. An incarnation of a worker is the time from
// one start of its process to the next; the id stays the same, the birth time differs. An endless task is a service that
// runs until its submission is cancelled and may have a limit on its tail latency. A filling task is a best-effort task:
// it uses processor time that other tasks leave idle, and is throttled or moved when it slows a service down.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Target identifies the worker incarnation that a call is meant for and carries the leader's fencing token.
type Target struct {
	Incarnation submission.Incarnation
	Address     string
	// FailureDomain is the failure domain of the worker.
	FailureDomain string
	// Fence is the fencing token. It rises with the leader's term and, in a term, with each session. Workers refuse calls with a lower
	// token than the highest that they have seen.
	Fence uint64
}

// StartCall asks a worker to start an attempt.
type StartCall struct {
	Target
	Task       submission.Ref
	Attempt    uint32
	Payload    string
	Checkpoint string
	// LeaseUntilMs is the time, on the worker's clock, at which the lease ends. The lease covers all attempts on the worker.
	LeaseUntilMs int64
	// Ticket was issued by the policy service; it is empty if the queue has no policy.
	Ticket string
}

// StopCall asks a worker to stop an attempt. If the attempt has not started, the worker must never start it.
type StopCall struct {
	Target
	Task    submission.Ref
	Attempt uint32
}

// ThrottleCall limits an attempt to Percent of its full speed.
type ThrottleCall struct {
	Target
	Task    submission.Ref
	Attempt uint32
	Percent int
}

// HoldCall is a long poll: it renews the lease of a worker, acknowledges the ends of attempts up to SeenEnd and returns
// which attempts run and which have ended.
type HoldCall struct {
	Target
	// LeaseUntilMs is the end of the lease on the worker's clock, or 0 if the call does not renew the lease.
	LeaseUntilMs int64
	// SeenEnd is the number of the last end that is committed. The worker no longer lists the ends up to it.
	SeenEnd uint64
	// WaitMs is how long the worker may wait for an attempt to end before it answers.
	WaitMs int64
}

// Running is an attempt that a worker lists as running.
type Running struct {
	Task       submission.Ref
	Attempt    uint32
	Checkpoint string
	// Percent is the progress of the task. An endless task reports 100 once it serves requests.
	Percent float64
	// Figure is an imprecise measurement over the last half second: the tail latency in ms if the task has a tail latency
	// limit, otherwise the millicores in use.
	Figure float64
}

// Ended is an attempt that a worker lists as ended.
type Ended struct {
	// Number is the sequence number of the end within one incarnation of the worker, starting at 1.
	Number     uint64
	Task       submission.Ref
	Attempt    uint32
	Kind       pb.TaskEndKind
	Checkpoint string
}

// HoldAnswer lists the attempts that run on a worker and those that have ended there and are not acknowledged yet.
type HoldAnswer struct {
	ClockMs    int64
	BornUnixMs int64
	Running    []Running
	Ended      []Ended
	// MayLackEnds is true if attempts may have ended that are not in Ended, since a worker lists a limited number at a time. It lists the next
	// ones once these are acknowledged. An attempt that is in neither list may have ended in any way then.
	MayLackEnds bool
	// HasUnreadable is true if elements of the lists could not be decoded. An attempt that is in neither list may then run, or may have ended in any way.
	HasUnreadable bool
}

// isComplete reports whether an attempt that is in neither list neither runs nor has an end that is not acknowledged.
func (a HoldAnswer) isComplete() bool { return !a.MayLackEnds && !a.HasUnreadable }

// Caller makes calls to workers. After ErrNoAnswer the worker may have carried out the call already, may still do so
// later, or may never have received it. Start, Stop and Throttle return the worker's clock in ms.
type Caller interface {
	Start(ctx context.Context, c StartCall) (clockMs int64, err error)
	Stop(ctx context.Context, c StopCall) (clockMs int64, err error)
	Throttle(ctx context.Context, c ThrottleCall) (clockMs int64, err error)
	Hold(ctx context.Context, c HoldCall) (HoldAnswer, error)
}

// Adviser asks the policy service which workers may run a step.
type Adviser interface {
	// Advise returns the tickets of those workers that may run the step, by worker id, and how long the tickets are valid.
	// It returns ErrUnavailable if the service is overloaded; the caller should retry later.
	Advise(ctx context.Context, step submission.Ref, workers []string) (tickets map[string]string, valid time.Duration, err error)
}

// Platform lists the VMs on which workers run and orders their maintenance.
type Platform interface {
	// VMs returns the VMs of all pools.
	VMs(ctx context.Context) (VMList, error)
	// Upkeep orders the maintenance of a VM as part of a wave. All tasks on the VM end. Repeating an order is not an error.
	// It returns ErrFenced if the platform has seen a higher fencing token, and ErrBusy if it cannot carry out the order now.
	Upkeep(ctx context.Context, vm string, wave uint64, holder string, fence uint64) error
}

// VMList is the platform's list of VMs.
type VMList struct {
	VMs []VM
	// Unreadable names the VMs whose entries could not be decoded.
	Unreadable []string
	// Incomplete is true if the list has entries whose VMs are not known.
	Incomplete bool
}

// VM is a VM of a pool.
type VM struct {
	ID, Pool string
	// Up is false while the VM is down, under maintenance or being migrated.
	Up bool
	// Worker is the id of the worker that runs on the VM.
	Worker string
	Rack   string
	Labels []string
	// Capacity is nil if the platform does not state it.
	Capacity *pb.Resources
}

// ErrBusy means that the platform cannot carry out an order now, for example because the VM is down.
var ErrBusy = errors.New("the platform cannot carry out the order now; try again later")

// Errors of a Caller. After any error but ErrNoAnswer and ErrUnavailable, the call had no effect except that a start may have
// renewed the lease.
var (
	// ErrNoAnswer means that it is unknown whether the worker has received or will yet carry out the call.
	ErrNoAnswer = errors.New("the worker did not answer; the call may have been or may yet be carried out")
	// ErrConnectionRefused means that the connection was refused, so that the call was not carried out. Either nothing listens at the worker's
	// address, or a partition refuses connections: it does not prove that the worker's process has ended.
	ErrConnectionRefused = fmt.Errorf("%w: its address refuses connections", ErrNoAnswer)
	// ErrConnectionBroken means that the connection ended before the answer, for instance since the worker's process has ended.
	ErrConnectionBroken = fmt.Errorf("%w: its connection broke", ErrNoAnswer)
	// ErrAgentSilent means that nothing is heard from the VM that was to make the call. It tells nothing about the worker.
	ErrAgentSilent = fmt.Errorf("%w: nothing is heard from the VM that makes the call", ErrNoAnswer)
	// ErrFenced means that a newer leader has called the worker.
	ErrFenced = errors.New("a newer leader has called the worker; this one must stop")
	// ErrOldAttempt means that this or a later attempt of the task was stopped or has ended on the worker.
	ErrOldAttempt = errors.New("the attempt is not newer than one that was stopped or ended there")
	// ErrLeaseOver means that the lease in the call has already expired on the worker's clock.
	ErrLeaseOver = errors.New("the lease in the call is over on the worker's clock; read the clock and try again")
	// ErrNoRoom means that the worker lacks free resources for the task.
	ErrNoRoom = errors.New("the worker has no room for the task; place it elsewhere")
	// ErrNoTicket means that the start carried no valid ticket of the policy service.
	ErrNoTicket = errors.New("the policy service's ticket is missing or has run out; ask for a new one")
	// ErrUnavailable means that the worker refused the call because it is overloaded or failing. It may have carried out the
	// call anyway.
	ErrUnavailable = errors.New("the worker is not well; place the task elsewhere")
	// ErrOtherIncarnation means that another worker, or another incarnation of the worker, answers at the address.
	ErrOtherIncarnation = errors.New("the address belongs to another life of a worker")
	// ErrMalformed means that the worker could not decode the call or refused its contents.
	ErrMalformed = errors.New("the worker refuses the call as malformed")
)
