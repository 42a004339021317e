package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lentilyard/lentilyard/internal/client"
	"github.com/lentilyard/lentilyard/internal/idempotency"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/units"
)

// waitPollInterval is the interval at which a waiting command queries the state of the task.
const waitPollInterval = 500 * time.Millisecond

func addTasks(app *kingpin.Application, o *clientOptions) {
	task := app.Command("task", "Submit, show, list, cancel and evict tasks.")
	addTaskSubmit(task, o)
	addTaskShow(task, o)
	addTaskList(task, o)
	addTaskWait(task, o)
	addTaskEnd(task, o, "cancel", "Cancel a task.", (*client.Client).CancelTask)
	addTaskEnd(task, o, "evict", "Checkpoint and stop the current attempt, and queue the task again.", (*client.Client).EvictTask)
}

func addTaskSubmit(parent *kingpin.CmdClause, o *clientOptions) {
	command := parent.Command("submit", "Submit a task.")
	spec := &pb.TaskSpec{Resources: new(pb.Resources)}
	command.Arg("name", "Name of the task.").Required().StringVar(&spec.Name)
	command.Flag("member", "Member; default: the member of the token.").StringVar(&spec.Member)
	command.Flag("contract", "Contract whose capacity the task uses.").Required().StringVar(&spec.Contract)
	command.Flag("kind", "Kind of work.").Default("default").StringVar(&spec.Kind)
	class := command.Flag("class", "Task class: urgent, service or batch.").Default("batch").Enum("urgent", "service", "batch")
	quantityVar(command, "cores", "CPU, such as \"2 core\" or \"500 millicore\".", "1 core", units.Processor, &spec.Resources.Millicores)
	quantityVar(command, "memory", "Memory, such as \"256 MB\" or \"2 GiB\".", "256 MB", units.Memory, &spec.Resources.MemoryBytes)
	command.Flag("accelerators", "Number of accelerators.").Int64Var(&spec.Resources.Accelerators)
	expected := command.Flag("expected", "Expected run time.").Default("10s").Duration()
	command.Flag("domain", "Home failure domain; default: chosen by a hash of the key.").StringVar(&spec.FailureDomain)
	command.Flag("key", "Idempotency key (UUIDv7); default: a new one.").StringVar(&spec.IdempotencyKey)
	command.Flag("gang", "Tasks of the same gang start together.").StringVar(&spec.Gang)
	command.Flag("gang-size", "Number of tasks in the gang.").Uint32Var(&spec.GangSize)
	payload := command.Flag("payload", "Input for the worker, passed on unchanged.").String()
	wait := command.Flag("wait", "Wait until the task has ended.").Bool()
	command.Action(func(*kingpin.ParseContext) error {
		spec.Class = pb.TaskClass(pb.TaskClass_value["TASK_CLASS_"+strings.ToUpper(*class)])
		spec.ExpectedRunMs = expected.Milliseconds()
		spec.Payload = []byte(*payload)
		if spec.IdempotencyKey == "" {
			spec.IdempotencyKey = idempotency.NewKey(time.Now())
		}
		c, err := o.client()
		if err != nil {
			return err
		}
		task, err := c.SubmitTask(commandContext, spec)
		if err != nil {
			return fmt.Errorf("submit with key %s: %w", spec.IdempotencyKey, err)
		}
		if *wait {
			return waitForTask(commandContext, c, o, task.Id)
		}
		return printTask(o, task)
	})
}

func addTaskShow(parent *kingpin.CmdClause, o *clientOptions) {
	command := parent.Command("show", "Show one task.")
	id := command.Arg("id", "Id of the task.").Required().String()
	command.Action(func(*kingpin.ParseContext) error {
		c, err := o.client()
		if err != nil {
			return err
		}
		task, err := c.Task(commandContext, *id)
		if err != nil {
			return err
		}
		return printTask(o, task)
	})
}

func addTaskList(parent *kingpin.CmdClause, o *clientOptions) {
	command := parent.Command("list", "List tasks.")
	member := command.Flag("member", "Only tasks of this member.").String()
	state := command.Flag("state", "Only tasks in this state.").String()
	command.Action(func(*kingpin.ParseContext) error {
		c, err := o.client()
		if err != nil {
			return err
		}
		list, err := c.Tasks(commandContext, *member, *state)
		if err != nil {
			return err
		}
		warnUnreachable(list.UnreachableDomains)
		return o.print(list, func(row func(...any)) {
			row("ID", "NAME", "MEMBER", "CLASS", "STATE", "ATTEMPT", "WORKER", "REASON")
			for _, task := range list.Tasks {
				spec := task.Spec
				row(task.Id, spec.Name, spec.Member, classText(spec.Class), stateText(task.State), task.Attempt, task.Worker, task.Reason)
			}
		})
	})
}

func addTaskWait(parent *kingpin.CmdClause, o *clientOptions) {
	command := parent.Command("wait", "Wait until a task has ended.")
	id := command.Arg("id", "Id of the task.").Required().String()
	command.Action(func(*kingpin.ParseContext) error {
		c, err := o.client()
		if err != nil {
			return err
		}
		return waitForTask(commandContext, c, o, *id)
	})
}

// endTaskFunc is the signature of client.Client.CancelTask and EvictTask.
type endTaskFunc func(c *client.Client, ctx context.Context, id, reason string) (*pb.Task, error)

func addTaskEnd(parent *kingpin.CmdClause, o *clientOptions, name, help string, end endTaskFunc) {
	command := parent.Command(name, help)
	id := command.Arg("id", "Id of the task.").Required().String()
	reason := command.Flag("reason", "Reason to record with the task.").Default("requested by operator").String()
	command.Action(func(*kingpin.ParseContext) error {
		c, err := o.client()
		if err != nil {
			return err
		}
		task, err := end(c, commandContext, *id, *reason)
		if err != nil {
			return err
		}
		return printTask(o, task)
	})
}

// waitForTask prints the progress of a task to standard error until the task has ended. If it did not finish, the error
// wraps errTaskNotFinished.
func waitForTask(ctx context.Context, c *client.Client, o *clientOptions, id string) error {
	ticker := time.NewTicker(waitPollInterval)
	defer ticker.Stop()
	last := ""
	for {
		task, err := c.Task(ctx, id)
		if err != nil {
			return err
		}
		line := fmt.Sprintf("%s attempt %d %.0f%% %s", stateText(task.State), task.Attempt, 100*task.GetCheckpoint().GetProgress(), task.Worker)
		if line != last {
			fmt.Fprintln(os.Stderr, line)
			last = line
		}
		switch task.State {
		case pb.TaskState_TASK_STATE_FINISHED:
			return printTask(o, task)
		case pb.TaskState_TASK_STATE_FAILED, pb.TaskState_TASK_STATE_CANCELLED, pb.TaskState_TASK_STATE_UNSCHEDULABLE:
			if err := printTask(o, task); err != nil {
				return err
			}
			return fmt.Errorf("%w: %s: %s", errTaskNotFinished, stateText(task.State), task.Reason)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for task %s: %w", id, ctx.Err())
		case <-ticker.C:
		}
	}
}

func printTask(o *clientOptions, task *pb.Task) error {
	return o.print(task, func(row func(...any)) {
		spec := task.Spec
		row("id", task.Id)
		row("name", spec.Name)
		row("member", spec.Member)
		row("contract", spec.Contract)
		row("class", classText(spec.Class))
		row("resources", resourcesText(spec.Resources))
		row("state", stateText(task.State))
		row("attempt", task.Attempt)
		row("worker", task.Worker)
		row("evictions", task.Evictions)
		row("checkpoint", checkpointText(task.Checkpoint))
		row("submitted", timeText(task.SubmittedUnixMs))
		row("started", timeText(task.StartedUnixMs))
		row("ended", timeText(task.EndedUnixMs))
		row("reason", task.Reason)
	})
}

func checkpointText(checkpoint *pb.Checkpoint) string {
	if checkpoint == nil {
		return "-"
	}
	return fmt.Sprintf("attempt %d sequence %d, %.0f%% done", checkpoint.Attempt, checkpoint.Sequence, 100*checkpoint.Progress)
}

func warnUnreachable(domains []string) {
	if len(domains) > 0 {
		fmt.Fprintln(os.Stderr, "warning: the list is incomplete; unreachable failure domains:", strings.Join(domains, ", "))
	}
}
