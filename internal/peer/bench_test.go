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

func newRequest(size int) *pb.ProposeRequest { return &pb.ProposeRequest{Entry: make([]byte, size)} }

func newAnswer() *pb.ProposeAnswer { return &pb.ProposeAnswer{} }

// BenchmarkCall measures the latency of calls made one at a time over loopback. p50 and p99 are in microseconds.
func BenchmarkCall(b *testing.B) {
	x, y := connectedPair(b)
	y.HandleCall("echo", echo)
	for _, size := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			latencies := make([]time.Duration, 0, b.N)
			for range b.N {
				started := time.Now()
				if err := x.Call(context.Background(), "b", "echo", newRequest(size), newAnswer()); err != nil {
					b.Fatal(err)
				}
				latencies = append(latencies, time.Since(started))
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
		})
	}
}

// BenchmarkCallParallel measures the throughput of many concurrent calls on one connection.
func BenchmarkCallParallel(b *testing.B) {
	x, y := connectedPair(b)
	y.HandleCall("echo", echo)
	for _, callers := range []int{8, 64, 512} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			done := make(chan error, callers)
			for range callers {
				go func() {
					var err error
					for err == nil && remaining.Add(-1) >= 0 {
						err = x.Call(context.Background(), "b", "echo", newRequest(100), newAnswer())
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

// BenchmarkSend measures messages of 200 bytes on one channel, with at most 512 in flight.
func BenchmarkSend(b *testing.B) {
	x, y := connectedPair(b)
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
	x, y := connectedPair(b)
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

// BenchmarkIdleConnection measures the UDP payload that one idle connection sends in both directions.
func BenchmarkIdleConnection(b *testing.B) {
	d := newDeployment(b, "a", "b")
	d.start("b")
	p := newUDPProxy(b, d.addrs["b"])
	d.addrs["b"] = p.socket.LocalAddr().String()
	waitReachable(b, d.start("a"), "b")
	const warmUp, period = 5 * time.Second, 4 * time.Second // MTU discovery ends within the first seconds
	for range b.N {
		time.Sleep(warmUp)
		before := p.forwarded()
		time.Sleep(period)
		b.ReportMetric(float64(p.forwarded()-before)/period.Seconds(), "bytes/s")
	}
}

func (p *udpProxy) forwarded() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes
}
