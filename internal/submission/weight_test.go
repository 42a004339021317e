package submission

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Guards against a weight that stays when submissions have ended, or that is another one after a restart.
func TestWeightFollowsTheSubmissions(t *testing.T) {
	is := is.New(t)
	w := newDriver()
	w.apply(queueConfig(2), worker("w", 1))
	large := accept("b", oneTask())
	large.GetAccept().Spec.Payload = strings.Repeat("x", 10_000)
	ref := Ref{Submission: "a"}
	w.apply(accept("a", oneTask()), large, accept("a", oneTask()), start(ref, 1, "w", 1))
	is.Equal(w.state.Weight(), Weight(w.state.Submission("a").Spec)+Weight(large.GetAccept().Spec))
	w.apply(end(ref, 1, "w", 1, done), cancelOf("b"))
	is.Equal(w.state.Weight(), endedWeight(w.state.Submission("a").Spec)+endedWeight(large.GetAccept().Spec))
	restored := New(retentionMs, nil)
	snapshot, err := w.state.Snapshot()
	is.NoErr(err)
	is.NoErr(restored.Restore(snapshot))
	is.NoErr(restored.Restore(snapshot))
	is.Equal(restored.Weight(), w.state.Weight())
	wave := &pb.Wave{Number: 1, Vms: []string{"m"}}
	w.apply(&pb.SubmissionChange{Change: &pb.SubmissionChange_Wave{Wave: wave}}, &pb.SubmissionChange{Change: &pb.SubmissionChange_Wave{Wave: wave}})
	w.unixMs += 2 * retentionMs
	for range expireInterval {
		w.apply()
	}
	is.Equal(w.state.Weight(), WaveWeight(wave))
}
