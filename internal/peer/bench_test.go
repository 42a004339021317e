package peer

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

func request(size int) *pb.ProposeRequest { return &pb.ProposeRequest{Entry: make([]byte, size)} }

func answer() *pb.ProposeAnswer { return &pb.ProposeAnswer{} }

// BenchmarkCall measures one call at a time over loopback. p50 and p99 are in microseconds.
func BenchmarkCall(b *testing.B) {
	x, y := pair(b)
	y.HandleCall("echo", echo)
	for _, size := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			took := make([]time.Duration, 0, b.N)
			for range b.N {
				started := time.Now()
				if err := x.Call(context.Background(), "b", "echo", request(size), answer()); err != nil {
					b.Fatal(err)
				}
				took = append(took, time.Since(started))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
		})
	}
}

// BenchmarkCallParallel measures the throughput of many concurrent calls on one connection.
func BenchmarkCallParallel(b *testing.B) {
	x, y := pair(b)
	y.HandleCall("echo", echo)
	for _, callers := range []int{8, 64, 512} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			var left atomic.Int64
			left.Store(int64(b.N))
			done := make(chan error, callers)
			for range callers {
				go func() {
					var err error
					for err == nil && left.Add(-1) >= 0 {
						err = x.Call(context.Background(), "b", "echo", request(100), answer())
					}
					done <- err
				}()
			}
			for range callers {
				if err := <-done; err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}

// BenchmarkSend measures messages of 200 bytes on one channel, with at most 512 on their way.
func BenchmarkSend(b *testing.B) {
	x, y := pair(b)
	window := make(chan struct{}, 512)
	y.Handle("m", func(string, []byte) { <-window })
	payload := make([]byte, 200)
	b.ReportAllocs()
	for b.Loop() {
		window <- struct{}{}
		x.Send("b", "m", payload)
	}
	for len(window) > 0 {
		time.Sleep(time.Millisecond)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "messages/s")
}

// BenchmarkStream measures the throughput of one stream.
func BenchmarkStream(b *testing.B) {
	x, y := pair(b)
	y.HandleStream("discard", func(_ context.Context, _ string, s Stream) {
		buffer := make([]byte, 64<<10)
		for {
			if _, err := s.Read(buffer); err != nil {
				return
			}
		}
	})
	s, err := x.OpenStream(context.Background(), "b", "discard")
	if err != nil {
		b.Fatal(err)
	}
	chunk := make([]byte, 64<<10)
	b.SetBytes(int64(len(chunk)))
	for b.Loop() {
		if _, err := s.Write(chunk); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkIdleConnection measures what one connection without traffic sends in both directions, as UDP payload.
func BenchmarkIdleConnection(b *testing.B) {
	d := newDeployment(b, "a", "b")
	d.start("b")
	r := newRelay(b, d.addrs["b"])
	d.addrs["b"] = r.socket.LocalAddr().String()
	reach(b, d.start("a"), "b")
	const warmUp, period = 5 * time.Second, 4 * time.Second // MTU discovery ends within the first seconds
	for range b.N {
		time.Sleep(warmUp)
		before := r.forwarded()
		time.Sleep(period)
		b.ReportMetric(float64(r.forwarded()-before)/period.Seconds(), "bytes/s")
	}
}

func (r *relay) forwarded() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}
