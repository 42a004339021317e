package dispatch

import (
	"google.golang.org/protobuf/proto"
)

// A worker that restarts where none of its reports arrive is known only from its answers to holds. Its next incarnation is registered from
// such an answer: it has the same id, address, VM and rack, and room for as much. Its labels may have changed and are unknown until it
// reports, so that it gets no task which needs one.

// registerSuccessor registers the incarnation that has answered a hold in place of the incarnation of a session.
func (l *Leader) registerSuccessor(s *session, bornUnixMs int64) {
	known := l.knownWorker(s.incarnation.ID)
	if known == nil || known.GetBornUnixMs() != s.incarnation.BornUnixMs || bornUnixMs <= known.GetBornUnixMs() {
		return // it has reported by now, or was started before
	}
	w := proto.CloneOf(known)
	w.BornUnixMs, w.Labels, w.Sequence, w.Draining, w.Gone = bornUnixMs, nil, 0, false, false
	l.log.Info().Str("event", "successor-found").Str("worker", w.GetId()).Int64("born", bornUnixMs).Msg("a later incarnation has answered a hold and is registered before it reports")
	l.register(w, func(error) {})
}
