package fleet

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/httplimit"
	"github.com/lentilyard/lentilyard/internal/machine"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// Limits of the HTTP server. The timeouts release connections of clients that are gone; the platform's example
// configuration has the same values.
const (
	httpHeaderTimeout = 3 * time.Second
	httpIdleTimeout   = 15 * time.Second
	maxHeaderBytes    = 16 << 10
)

// HTTPServer is an HTTP server with a bound listener.
type HTTPServer struct {
	*http.Server
	listener net.Listener
	// cancelRequests cancels the contexts of all requests.
	cancelRequests context.CancelFunc
}

// Listen binds the address of an HTTP server and returns the server; Run serves it. limits apply to all its clients together. Errors
// name the setting with field.
func Listen(field, address string, handler http.Handler, limits httplimit.Limits, log zerolog.Logger) (*HTTPServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w; choose a free address of this VM", field, err)
	}
	requests, cancelRequests := context.WithCancel(context.Background())
	server := &http.Server{Handler: handler, BaseContext: func(net.Listener) context.Context { return requests }, ReadHeaderTimeout: httpHeaderTimeout, IdleTimeout: httpIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: stdlog.New(log.Level(zerolog.DebugLevel).With().Str("event", "http").Logger(), "", 0)}
	listener = httplimit.Protect(server, listener, strings.TrimPrefix(field, "listen."), limits, log)
	return &HTTPServer{Server: server, listener: listener, cancelRequests: cancelRequests}, nil
}

// ClientLimits returns the limits for the clients of the main server of a VM. A control VM holds state besides. It also limits the
// garbage collector of the process.
func ClientLimits(s *pb.FleetSettings, control bool) httplimit.Limits {
	l := machine.New(s.GetLimits().GetMemoryMb(), s.GetLimits().GetDescriptors())
	l.LimitCollector()
	share := machine.StatelessShare
	if control {
		share = machine.StatefulShare
	}
	return httplimit.Limits{Bytes: l.Bytes(share), Connections: l.Connections()}
}

// StateLimit returns the memory in bytes that the submissions of a control VM may take.
func StateLimit(s *pb.FleetSettings) int64 {
	return machine.New(s.GetLimits().GetMemoryMb(), s.GetLimits().GetDescriptors()).Bytes(machine.StateShare)
}

// Run serves requests until the server is shut down.
func (s *HTTPServer) Run() error {
	if err := s.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// lateAnswerShare is the part of Finish's time limit that is left for answers to requests whose contexts were cancelled.
const lateAnswerShare = 0.25

// Finish shuts the server down: it closes idle connections and waits for requests in progress, at most for the given time.
// Near the end of that time it cancels the contexts of the remaining requests, so that their callers get an answer instead
// of a broken connection.
func (s *HTTPServer) Finish(limit time.Duration, log zerolog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	last := time.AfterFunc(time.Duration(float64(limit)*(1-lateAnswerShare)), s.cancelRequests)
	defer last.Stop()
	defer s.cancelRequests()
	if err := s.Shutdown(ctx); err != nil {
		log.Warn().Str("event", "shutdown-timeout").Err(err).Msg("closed the HTTP server with requests in progress")
		_ = s.Close()
	}
}

// MetricsHandler serves all metrics in the Prometheus text format.
func MetricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
}
