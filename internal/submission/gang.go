package submission

import "github.com/lentilyard/lentilyard/internal/pb"

// Gang is what a gang has saved. A value that one member has saved is valid for all of them, and all members of an attempt must start from
// the same one.
type Gang struct {
	// Value is the latest progress, saved in the given attempt. Reported is true if a worker listed it with the end of a member;
	// otherwise it is what was last known of a member whose worker was lost, and may be older.
	Value    string
	Attempt  uint32
	Reported bool
	// StartAttempt is the highest attempt of which a member was placed, StartValue the value from which all its members start.
	StartAttempt uint32
	StartValue   string
}

// startValue returns the value from which a member of an attempt starts. The first member that is placed decides for all.
func (g *Gang) startValue(attempt uint32) string {
	if attempt > g.StartAttempt {
		g.StartAttempt, g.StartValue = attempt, g.Value
	}
	return g.StartValue
}

// save records a value with the end of a member. Members of one attempt have saved about the same, so that the first value that a
// worker listed stays.
func (g *Gang) save(value string, attempt uint32, reported bool) {
	if value == "" || attempt < g.Attempt || attempt == g.Attempt && (g.Reported || !reported) {
		return
	}
	g.Value, g.Attempt, g.Reported = value, attempt, reported
}

// saveProgress records what an attempt of a task that ends has saved.
func (s *Step) saveProgress(spec *pb.Step, t *Task, c *pb.TaskEnd) {
	switch {
	case spec.GetGang():
		s.Gang.save(c.GetCheckpoint(), c.GetAttempt(), c.GetKind() != pb.TaskEndKind_TASK_END_KIND_LOST)
	case c.GetCheckpoint() != "":
		t.Checkpoint = c.GetCheckpoint()
	}
}

func (g *Gang) record() *pb.GangRecord {
	if *g == (Gang{}) {
		return nil
	}
	return &pb.GangRecord{Value: g.Value, Attempt: g.Attempt, Reported: g.Reported, StartAttempt: g.StartAttempt, StartValue: g.StartValue}
}

func gangFromRecord(r *pb.GangRecord) Gang {
	return Gang{Value: r.GetValue(), Attempt: r.GetAttempt(), Reported: r.GetReported(), StartAttempt: r.GetStartAttempt(), StartValue: r.GetStartValue()}
}
