package fleet

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// HTTP timeouts that release the connections of half-open clients; the platform's example configuration has the same.
const (
	headerTimeout  = 3 * time.Second
	idleHTTP       = 15 * time.Second
	maxHeaderBytes = 16 << 10
)

// HTTPServer is a listening HTTP server.
type HTTPServer struct {
	*http.Server
	listener net.Listener
	// giveUp cancels the contexts of all requests.
	giveUp context.CancelFunc
}

// Listen binds the address of an HTTP server. field names the setting in errors.
func Listen(field, address string, handler http.Handler, log zerolog.Logger) (*HTTPServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w; choose a free address of this VM", field, err)
	}
	requests, giveUp := context.WithCancel(context.Background())
	server := &http.Server{Handler: handler, BaseContext: func(net.Listener) context.Context { return requests }, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleHTTP, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: stdlog.New(log.Level(zerolog.DebugLevel).With().Str("event", "http").Logger(), "", 0)}
	return &HTTPServer{Server: server, listener: listener, giveUp: giveUp}, nil
}

// Run serves until the server is shut down.
func (s *HTTPServer) Run() error {
	if err := s.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// lastAnswers is the part of the time of Finish in which requests that still wait are answered.
const lastAnswers = 0.25

// Finish ends idle connections and waits for requests in progress, at most for the given time. Near its end the contexts
// of requests that still wait are cancelled, so that their callers get an answer instead of a broken connection.
func (s *HTTPServer) Finish(limit time.Duration, log zerolog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	last := time.AfterFunc(time.Duration(float64(limit)*(1-lastAnswers)), s.giveUp)
	defer last.Stop()
	defer s.giveUp()
	if err := s.Shutdown(ctx); err != nil {
		log.Warn().Str("event", "shutdown-timeout").Err(err).Msg("requests were still in progress")
		_ = s.Close()
	}
}

// MetricsHandler serves counters and histograms as text.
func MetricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
}
