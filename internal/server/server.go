// Package server assembles an entry VM from its settings: replicated groups,
// routing, gateway, HTTP API and the transport to other entry VMs.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/admission"
	"github.com/lentilyard/lentilyard/internal/api"
	"github.com/lentilyard/lentilyard/internal/cluster"
	"github.com/lentilyard/lentilyard/internal/credentials"
	"github.com/lentilyard/lentilyard/internal/gateway"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/peer"
	"github.com/lentilyard/lentilyard/internal/replica"
	"github.com/lentilyard/lentilyard/internal/routing"
)

// HTTP timeouts that release connections of half-open clients.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Options select what the settings do not state.
type Options struct {
	Settings *pb.Settings
	Version  string
	Logger   zerolog.Logger
}

// Server is one entry VM.
type Server struct {
	settings  *pb.Settings
	log       zerolog.Logger
	instance  string
	transport *peer.Transport
	host      *replica.Host
	config    *replica.Group
	contracts observedContracts
	domains   map[string]*domainGroup
	table     *routing.Table
	gateway   *gateway.Gateway
	shares    *admission.Shares
	// reports maps the ids of other entry VMs to their last load reports.
	reports  sync.Map
	cluster  *cluster.Cluster
	http     *http.Server
	listener net.Listener

	background sync.WaitGroup
	cancel     context.CancelFunc
	draining   atomic.Bool
	// appliedNote is the last note that the leaders of this process were told about.
	appliedNote atomic.Uint64
	fatal       chan error
}

// New prepares an entry VM. It binds the listeners and opens the data folder.
// Call Run to serve, or Close to give both back.
func New(options Options) (*Server, error) {
	s := &Server{
		settings: options.Settings,
		log:      options.Logger.With().Str("vm", options.Settings.Id).Logger(),
		instance: uuid.NewString(),
		domains:  make(map[string]*domainGroup),
		fatal:    make(chan error, 1),
	}
	if err := s.listen(); err != nil {
		return nil, err
	}
	if err := s.build(options); err != nil {
		s.closeParts()
		return nil, err
	}
	return s, nil
}

func (s *Server) build(options Options) error {
	if err := s.openTransport(); err != nil {
		return err
	}
	if err := s.openGroups(); err != nil {
		return err
	}
	s.table = routing.NewTable(s.tableConfig())
	s.shares = admission.NewShares(s.settings.Id, s.admissionVMs(), time.Now)
	// Load reports may arrive as soon as the transport is open, so the table must exist first.
	s.transport.Handle(loadChannel, s.onLoadReport)
	s.cluster = cluster.New(cluster.Config{
		VM:          s.settings.Id,
		Domain:      s.ownDomain(),
		Version:     options.Version,
		Settings:    s.settings,
		Transport:   s.transport,
		Table:       s.table,
		Config:      s.config,
		Contracts:   s.contracts.State,
		Domains:     s.clusterDomains(),
		Ready:       s.Ready,
		AppliedNote: s.appliedNote.Load,
		Logger:      s.log,
	})
	s.gateway = gateway.New(s.gatewayConfig())
	s.serveForwards()
	s.addGauges()
	return s.buildHTTP()
}

func (s *Server) listen() error {
	listener, err := net.Listen("tcp", s.settings.Listen.Http)
	if err != nil {
		return listenError("listen.http", s.settings.Listen.Http, err)
	}
	s.listener = listener
	return nil
}

func (s *Server) buildHTTP() error {
	tokens, err := credentials.NewTokens(s.settings.Tokens)
	if err != nil {
		return err
	}
	handler := api.New(api.Config{
		Cluster:      s.cluster,
		Auth:         tokenAuthenticator{tokens},
		Services:     s.gateway,
		WithIdentity: withGatewayIdentity,
	})
	s.http = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          httpErrorLog(s.log),
	}
	if files := s.settings.HttpTls; files.GetCertFile() != "" {
		pair, err := credentials.OpenPair(files.CertFile, files.KeyFile)
		if err != nil {
			return err
		}
		s.http.TLSConfig = &tls.Config{GetCertificate: pair.GetCertificate, MinVersion: tls.VersionTLS13}
	}
	return nil
}

// Address returns the address on which the HTTP API listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Ready reports whether this entry VM should get traffic: it is not shutting
// down, holds the state of its groups, and votes in those where it should. A
// rolling restart waits for this, so that a restarted VM counts towards each
// quorum again before the next one stops.
func (s *Server) Ready() bool {
	if s.draining.Load() || !restored(s.config.Status(), s.settings.ConfigVoters, s.settings.Id) {
		return false
	}
	for _, failureDomain := range s.settings.FailureDomains {
		hosted, found := s.domains[failureDomain.Name]
		if found && !restored(hosted.group.Status(), failureDomain.Voters, s.settings.Id) {
			return false
		}
	}
	return true
}

// restored reports whether a group member holds the state and, if the settings
// list its VM as a voter, whether its present incarnation is one.
func restored(status replica.Status, voters []string, id string) bool {
	return status.Serving && (!slices.Contains(voters, id) || slices.Contains(status.Voters, status.Self))
}

// Run serves until ctx ends, then shuts down gracefully: readiness first, then
// requests in flight, then leadership, then the process.
func (s *Server) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	if err := s.host.Start(); err != nil {
		s.closeParts()
		return fmt.Errorf("start replicated groups: %w", err)
	}
	s.startBackground(background)
	served := make(chan error, 1)
	go func() { served <- s.serveHTTP() }()
	s.log.Info().Str("event", "started").Str("http", s.Address()).Str("peer", s.settings.Listen.Peer).
		Str("failure_domain", s.ownDomain()).Str("instance", s.instance).Msg("entry VM started")
	var err error
	select {
	case <-ctx.Done():
	case err = <-served:
	case err = <-s.fatal:
		s.log.Error().Str("event", "fatal").Err(err).Msg("entry VM stops")
	}
	s.shutdown(err == nil)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Server) serveHTTP() error {
	if s.http.TLSConfig != nil {
		return s.http.ServeTLS(s.listener, "", "")
	}
	return s.http.Serve(s.listener)
}

func (s *Server) shutdown(graceful bool) {
	s.draining.Store(true)
	if graceful {
		s.drain()
	}
	s.closeParts()
	s.log.Info().Str("event", "stopped").Bool("graceful", graceful).Msg("entry VM stopped")
}

// drain lets the balancer and executors notice, then waits for requests in flight and hands over leadership.
func (s *Server) drain() {
	timeout, cancel := context.WithTimeout(context.Background(), s.settings.Timing.DrainTimeout.AsDuration())
	defer cancel()
	s.log.Info().Str("event", "draining").Dur("timeout", s.settings.Timing.DrainTimeout.AsDuration()).Msg("graceful shutdown")
	s.table.Drain()
	s.handOverExecutors(timeout)
	if err := s.table.Wait(timeout); err != nil {
		s.log.Warn().Str("event", "drain-timeout").Err(err).Msg("requests still in flight")
	}
	if err := s.http.Shutdown(timeout); err != nil {
		s.log.Warn().Str("event", "drain-timeout").Err(err).Msg("connections still open")
	}
	if err := s.host.Drain(timeout); err != nil {
		s.log.Warn().Str("event", "leadership-transfer-failed").Err(err).Msg("another voter will be elected")
	}
}

// handOverExecutors waits until executors had time to learn that they must move.
func (s *Server) handOverExecutors(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(2 * s.settings.Timing.AnnounceInterval.AsDuration()):
	}
}

// Close gives up everything at once, as after a failure.
func (s *Server) Close() { s.closeParts() }

func (s *Server) closeParts() {
	if s.cancel != nil {
		s.cancel()
	}
	if s.http != nil {
		_ = s.http.Close()
	}
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.background.Wait()
	if s.cluster != nil {
		s.cluster.Close()
	}
	if s.host != nil {
		_ = s.host.Close()
	}
	if s.transport != nil {
		_ = s.transport.Close()
	}
}
