package submission

import (
	"fmt"
	"regexp"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	// maxSteps bounds the steps of a submission.
	maxSteps = 256
	// maxTasks bounds the tasks of one occurrence of a submission.
	maxTasks = 20000
)

var idPattern = regexp.MustCompile(`^[0-9A-Za-z_-]{1,64}$`)

// Check returns an error if a submission is invalid.
func Check(spec *pb.SubmissionSpec) error {
	if !idPattern.MatchString(spec.GetId()) {
		return fmt.Errorf("%q is not the id of a submission; put 1 to 64 letters and digits behind the prefix of the queue", spec.GetId())
	}
	if n := len(spec.GetSteps()); n == 0 || n > maxSteps {
		return fmt.Errorf("the submission has %d steps; state 1 to %d", n, maxSteps)
	}
	tasks := 0
	for i, step := range spec.GetSteps() {
		if step.GetCount() == 0 {
			return fmt.Errorf("step %d has no tasks; state a count", i)
		}
		tasks += int(step.GetCount())
		size := step.GetSize()
		if size.GetMillicores() < 0 || size.GetMemoryBytes() < 0 || size.GetAccelerators() < 0 || step.GetEstimateMs() < 0 {
			return fmt.Errorf("step %d has a negative size or estimate", i)
		}
		for _, prerequisite := range step.GetAfter() {
			if int(prerequisite) >= i {
				return fmt.Errorf("step %d waits for step %d; name earlier steps only", i, prerequisite)
			}
		}
	}
	if tasks > maxTasks {
		return fmt.Errorf("the submission has %d tasks; split it into parts of at most %d", tasks, maxTasks)
	}
	if spec.GetOccurrences() > 0 && spec.GetIntervalMs() < 0 {
		return fmt.Errorf("the interval of %d ms is negative", spec.GetIntervalMs())
	}
	return nil
}

// Describe returns the state of the submission in one word that is shown to callers.
func (s *Submission) Describe() string {
	switch s.State {
	case pb.SubmissionState_SUBMISSION_STATE_DONE:
		return "done"
	case pb.SubmissionState_SUBMISSION_STATE_FAILED:
		return "failed"
	case pb.SubmissionState_SUBMISSION_STATE_CANCELLED:
		return "cancelled"
	}
	if s.Started {
		return "running"
	}
	return "queued"
}

// CheckConfig returns an error if a configuration is invalid. The error names the version, the pool or the queue at fault.
func CheckConfig(c *pb.ServiceConfig) error {
	if c.GetVersion() == 0 {
		return fmt.Errorf("version: it is missing or 0; state a version above the one in force")
	}
	pools := map[string]bool{}
	for i, p := range c.GetPools() {
		if p.GetName() == "" || pools[p.GetName()] {
			return fmt.Errorf("pool %d: the name %q is empty or used twice", i, p.GetName())
		}
		pools[p.GetName()] = true
	}
	keys := map[string]bool{}
	for i, q := range c.GetQueues() {
		switch key := QueueKey(q); {
		case !pools[q.GetPool()]:
			return fmt.Errorf("queue %d (%s): the pool %q is not in the configuration", i, q.GetName(), q.GetPool())
		case keys[key]:
			return fmt.Errorf("queue %d (%s): another queue has the host %q and the prefix %q", i, q.GetName(), q.GetHost(), q.GetPrefix())
		case q.GetTimeoutMs() <= 0:
			return fmt.Errorf("queue %d (%s): the timeout is %d ms; state one above 0", i, q.GetName(), q.GetTimeoutMs())
		default:
			keys[key] = true
		}
	}
	return nil
}
