package peer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a Close that leaves an accepted connection open. The VM that dialled it then takes up to IdleTimeout to
// detect the loss, and its calls in flight get no answer.
func TestCloseEndsIncomingConnectionsAtOnce(t *testing.T) {
	is := is.New(t)
	for range 20 {
		a, b := connectedPair(t)
		is.NoErr(a.Close())
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		for b.Reachable("a") && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		is.NoErr(ctx.Err()) // sooner than b's probes could time out
		cancel()
		is.NoErr(b.Close())
	}
}
