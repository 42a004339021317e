package peer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a planned stop that leaves a connection open: the other side then
// takes up to IdleTimeout to notice, and calls in flight on it get no answer.
func TestCloseEndsIncomingConnectionsAtOnce(t *testing.T) {
	is := is.New(t)
	for range 20 {
		a, b := pair(t)
		is.NoErr(a.Close())
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		for b.Reachable("a") && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		is.NoErr(ctx.Err()) // b noticed before its probes could have told
		cancel()
		is.NoErr(b.Close())
	}
}
