package peer

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
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

// Guards against a Close that cuts off a call whose handler is about to answer: the caller cannot tell whether the call had an
// effect (a planned stop left the outcome of POSTs unknown).
func TestCloseWaitsForRunningHandlers(t *testing.T) {
	is := is.New(t)
	a, b := connectedPair(t)
	running := make(chan struct{})
	b.HandleCall("slow", func(context.Context, string, []byte) (proto.Message, error) {
		close(running)
		time.Sleep(2 * lingerTime)
		return &pb.ProposeAnswer{Index: 9}, nil
	})
	done := make(chan error, 1)
	resp := &pb.ProposeAnswer{}
	go func() { done <- a.Call(t.Context(), "b", "slow", &pb.ProposeRequest{}, resp) }()
	<-running
	is.NoErr(b.Close())
	is.NoErr(<-done)
	is.Equal(resp.Index, uint64(9))
}

// Guards against a Close that hangs behind a handler that ends only with its context.
func TestCloseEndsHandlersThatDoNotReturn(t *testing.T) {
	is := is.New(t)
	a, b := connectedPair(t)
	running := make(chan struct{})
	b.HandleCall("endless", func(ctx context.Context, _ string, _ []byte) (proto.Message, error) {
		close(running)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	done := make(chan error, 1)
	go func() { done <- a.Call(t.Context(), "b", "endless", &pb.ProposeRequest{}, &pb.ProposeAnswer{}) }()
	<-running
	is.NoErr(b.Close())
	is.True(errors.Is(<-done, ErrNoAnswer))
}
