package steps

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Guards against a task of a step that keeps the others of the step waiting, although there is room for them, because it avoids
// all workers with room.
func TestAvoidingTaskDoesNotHoldUpItsStep(t *testing.T) {
	is := is.New(t)
	r := newRequest("s", 3, newStep(1, func(s *pb.Step) { s.Endless = true }))
	r.Waiting[0].AvoidWorkers = []string{"w"}
	p := plan([]*Worker{newWorker("w", 8)}, r)
	is.Equal(len(p.Starts), 2)
	is.Equal(p.Starts[0].Task.Index, uint32(1))
	is.Equal(len(p.Waiting), 1)
	is.Equal(p.Waiting[0].Task.Index, uint32(0))
}
