package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/logging"
	"github.com/lentilyard/lentilyard/internal/routing"
	"github.com/lentilyard/lentilyard/internal/standin"
)

// benchVM returns an entry VM with the given number of executors, and the executors. Routing decisions
// are logged to log unless it is nil.
func benchVM(b *testing.B, executors int, work time.Duration, log io.Writer) (*entryVM, []*standin.Executor) {
	logger := zerolog.Nop()
	if log != nil {
		logger = zerolog.New(log).With().Timestamp().Logger()
	}
	v := newEntryVM(b, func(c *Config) {
		c.Logger = logger
		c.Table = routing.NewTable(routing.Config{VM: "vm1", Domain: "d1", Seed: 1, Logger: logger, QuietDecisions: log == nil})
	})
	v.table = v.gateway.config.Table
	var list []*standin.Executor
	for i := range executors {
		list = append(list, startExecutor(b, v, standin.ExecutorOptions{ID: fmt.Sprintf("e%d", i), Work: work}))
	}
	return v, list
}

func newSink(b *testing.B) io.Writer {
	sink := logging.NewSink(io.Discard, 0)
	b.Cleanup(func() { sink.Close() })
	return sink
}

func benchClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConns: 4096, MaxIdleConnsPerHost: 4096}}
}

func get(client *http.Client, url string) (status int, took time.Duration) {
	start := time.Now()
	resp, err := client.Get(url)
	if err != nil {
		return 0, time.Since(start)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if err != nil {
		return 0, time.Since(start)
	}
	return resp.StatusCode, time.Since(start)
}

// closedLoop sends n requests, request i to url(i), and returns their latencies. Each caller sends its
// next request when it has the response to the last one.
func closedLoop(b *testing.B, client *http.Client, callers, n int, url func(int) string) []time.Duration {
	var next atomic.Int64
	var running sync.WaitGroup
	times := make([]time.Duration, n)
	for range callers {
		running.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				status, took := get(client, url(i))
				if status != http.StatusOK {
					b.Errorf("status %d", status)
				}
				times[i] = took
			}
		})
	}
	running.Wait()
	return times
}

// quantile returns the q-quantile in microseconds. It sorts times.
func quantile(times []time.Duration, q float64) float64 {
	slices.Sort(times)
	return float64(times[int(q*float64(len(times)-1))].Nanoseconds()) / 1e3
}

// BenchmarkPath compares requests through the gateway with direct calls to the same stand-in executors,
// alternately in one run. Acceptance: with instant responses the median is at most 2.5 times and the p99
// at most 3 times that of direct calls; with 5 ms of work at half load, 1.05 and 1.2 times.
func BenchmarkPath(b *testing.B) {
	for _, c := range []struct {
		name                      string
		executors, callers, block int
		work                      time.Duration
		lines                     bool
	}{
		{"instant", 4, 4, 2000, 0, true},
		{"instant/no-decision-lines", 4, 4, 2000, 0, false},
		{"work=5ms/half-load", 4, 16, 1600, 5 * time.Millisecond, true},
	} {
		b.Run(c.name, func(b *testing.B) {
			var log io.Writer
			if c.lines {
				log = newSink(b)
			}
			v, list := benchVM(b, c.executors, c.work, log)
			client := benchClient()
			direct := func(i int) string { return list[i%len(list)].Address() + "/x" }
			viaGateway := func(int) string { return v.server.URL + "/v1/services/orders/x" }
			closedLoop(b, client, c.callers, 400, direct)
			closedLoop(b, client, c.callers, 400, viaGateway)
			var directTimes, gatewayTimes []time.Duration
			for b.Loop() {
				directTimes = append(directTimes, closedLoop(b, client, c.callers, c.block, direct)...)
				gatewayTimes = append(gatewayTimes, closedLoop(b, client, c.callers, c.block, viaGateway)...)
			}
			for _, q := range []float64{0.5, 0.99} {
				name := fmt.Sprintf("p%.0f", q*100)
				d, w := quantile(directTimes, q), quantile(gatewayTimes, q)
				b.ReportMetric(d, name+"-direct-us")
				b.ReportMetric(w, name+"-whole-us")
				b.ReportMetric(w/d, name+"-ratio")
			}
		})
	}
}

// BenchmarkDecisionLineShare compares the throughput with and without log lines of routing decisions,
// alternately in one run. The lines are only encoded by zerolog, or also written to the asynchronous
// sink. Acceptance: they cost less than 5% of the throughput.
func BenchmarkDecisionLineShare(b *testing.B) {
	for _, kind := range []string{"encoder", "sink"} {
		b.Run(kind, func(b *testing.B) {
			log := io.Discard
			if kind == "sink" {
				log = newSink(b)
			}
			with, _ := benchVM(b, 4, 0, log)
			without, _ := benchVM(b, 4, 0, nil)
			client := benchClient()
			spent := make(map[*entryVM]time.Duration)
			for b.Loop() {
				for _, v := range []*entryVM{with, without, without, with} {
					start := time.Now()
					closedLoop(b, client, 16, 2000, func(int) string { return v.server.URL + "/v1/services/orders/x" })
					spent[v] += time.Since(start)
				}
			}
			b.ReportMetric(100*(1-spent[without].Seconds()/spent[with].Seconds()), "%-of-throughput")
		})
	}
}

// BenchmarkOverload reports the goodput, that is the responses within the deadline, at multiples of the
// capacity of two executors with 10 ms of work (1,600 requests per second). A tenth of the requests are
// urgent. Acceptance: the goodput at 2x and 5x is at least 90% of that at 1x, and urgent requests are
// answered at least as often as others.
func BenchmarkOverload(b *testing.B) {
	for _, load := range []int{1, 2, 5} {
		b.Run(fmt.Sprintf("load=%dx", load), func(b *testing.B) {
			v, _ := benchVM(b, 2, 10*time.Millisecond, newSink(b))
			for b.Loop() {
				overload(b, v, 1600*load, 3*time.Second)
			}
		})
	}
}

const overloadDeadline = 100 * time.Millisecond

// overload sends requests at a fixed rate (an open loop) and reports their outcomes per second.
func overload(b *testing.B, v *entryVM, rate int, length time.Duration) {
	client := benchClient()
	var good, late, refused, other, urgentGood, urgentAll atomic.Int64
	var running sync.WaitGroup
	start := time.Now()
	total := int(float64(rate) * length.Seconds())
	for i := range total {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		running.Go(func() {
			urgent := i%10 == 0
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			req, _ := http.NewRequestWithContext(ctx, http.MethodGet, v.server.URL+"/v1/services/orders/x", nil)
			req.Header.Set(headerDeadline, fmt.Sprint(overloadDeadline.Milliseconds()))
			if urgent {
				urgentAll.Add(1)
				req.Header.Set(headerContract, "urgent")
			}
			sent := time.Now()
			resp, err := client.Do(req)
			if err != nil {
				other.Add(1)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			switch {
			case resp.StatusCode == http.StatusOK && time.Since(sent) <= overloadDeadline+5*time.Millisecond:
				good.Add(1)
				if urgent {
					urgentGood.Add(1)
				}
			case resp.StatusCode == http.StatusOK:
				late.Add(1)
			case strings.Contains(resp.Header.Get(headerOutcome), "not-run"):
				refused.Add(1)
			default:
				other.Add(1)
			}
		})
	}
	running.Wait()
	seconds := time.Since(start).Seconds()
	b.ReportMetric(float64(good.Load())/seconds, "good/s")
	b.ReportMetric(float64(late.Load())/seconds, "late/s")
	b.ReportMetric(float64(refused.Load())/seconds, "refused/s")
	b.ReportMetric(float64(other.Load())/seconds, "other/s")
	b.ReportMetric(100*float64(urgentGood.Load())/float64(urgentAll.Load()), "%-urgent-answered")
}
