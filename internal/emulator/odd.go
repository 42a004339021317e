package emulator

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// FaultOddReports is a fault in which another writer sends reports that name a worker, its address or its VM.
const FaultOddReports FaultKind = "odd-reports"

const (
	// oddReportsPerSecond is the mean rate of such faults.
	oddReportsPerSecond = 0.4
	// oddReportInterval is the time between two reports of one fault.
	oddReportInterval = 100 * time.Millisecond
	// oddAhead is by how much an odd report claims to be of a later incarnation.
	oddAhead = int64(time.Hour / time.Millisecond)
)

// oddReports are the ways in which the reports of another writer differ from those of the worker that they name.
var oddReports = []func(r *pb.PoolReport){
	func(r *pb.PoolReport) { r.Worker.BornUnixMs += oddAhead },
	func(r *pb.PoolReport) {
		r.Worker.BornUnixMs, r.Worker.Address = r.Worker.BornUnixMs+oddAhead, "127.0.0.1:1"
	},
	func(r *pb.PoolReport) { r.Worker.Address = "127.0.0.1:1" },
	func(r *pb.PoolReport) { r.Worker.Address = "127.0.0.1:70000" },
	func(r *pb.PoolReport) { r.Worker.Pool = "nobody's" },
	func(r *pb.PoolReport) { r.Worker.Id, r.Worker.BornUnixMs = "odd", r.Worker.BornUnixMs+oddAhead },
	func(r *pb.PoolReport) {
		r.Worker.Id, r.Worker.BornUnixMs, r.Worker.Address = "odd", r.Worker.BornUnixMs+oddAhead, "127.0.0.1:1"
	},
	func(r *pb.PoolReport) { r.Worker.Capacity.Millicores = 1 << 62 },
	func(r *pb.PoolReport) { r.ClockMs = 1 << 52 },
}

// sendOddReports sends reports of another writer that name a worker, to all control VMs in turn.
func (h *host) sendOddReports(ctx context.Context, f Fault) {
	for n, until := f.Other, time.Now().Add(f.Duration); ctx.Err() == nil && time.Now().Before(until); n++ {
		h.mu.Lock()
		odd := &pb.PoolReport{}
		if h.reportState != nil {
			odd = proto.CloneOf(h.reportState)
		}
		h.mu.Unlock()
		if odd.GetWorker() != nil {
			odd.Sequence++ // the worker's own next report is not older than this one
			oddReports[n%len(oddReports)](odd)
			controls := h.deployment.controls()
			callCtx, cancel := context.WithTimeout(ctx, oddReportInterval)
			_, _ = h.client.Report(callCtx, controls[n%len(controls)].clientProxy.Addr(), odd)
			cancel()
		}
		sleep(ctx, oddReportInterval)
	}
}
