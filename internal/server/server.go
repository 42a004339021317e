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
	"github.com/lentilyard/lentilyard/internal/httplimit"
	"github.com/lentilyard/lentilyard/internal/machine"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/peer"
	"github.com/lentilyard/lentilyard/internal/replica"
	"github.com/lentilyard/lentilyard/internal/routing"
)

// Timeouts of the HTTP server, which release the connections of clients that no longer respond.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Options holds the parameters of New.
type Options struct {
	Settings *pb.Settings
	Version  string
	Logger   zerolog.Logger
}

// Server runs one entry VM.
type Server struct {
	settings  *pb.Settings
	log       zerolog.Logger
	instance  string
	transport *peer.Transport
	host      *replica.Host
	config    *replica.Group
	contracts notifyingContracts
	domains   map[string]*domainGroup
	table     *routing.Table
	gateway   *gateway.Gateway
	shares    *admission.Shares
	// reports holds the last load report (*pb.LoadReport) of each other entry VM, by id.
	reports  sync.Map
	cluster  *cluster.Cluster
	http     *http.Server
	listener net.Listener

	background sync.WaitGroup
	cancel     context.CancelFunc
	draining   atomic.Bool
	// appliedNote is the number of the last note whose contracts were passed to the domain leaders of this process.
	appliedNote atomic.Uint64
	fatal       chan error
}

// New creates an entry VM, binds its listeners and opens its data folder.
// Call Run to serve, or Close to release them.
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
		s.closeComponents()
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
	s.table = routing.NewTable(s.routingConfig())
	s.shares = admission.NewShares(s.settings.Id, s.admissionVMs(), time.Now)
	// Load reports may arrive as soon as the handler is registered, so the table and the shares must exist first.
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
	s.registerForwardHandler()
	s.registerGauges()
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
	l := machine.New(s.settings.Limits.GetMemoryMb(), s.settings.Limits.GetDescriptors())
	limits := httplimit.Limits{Bytes: l.Bytes(machine.StatefulShare), Connections: l.Connections()}
	s.listener = httplimit.Protect(s.http, s.listener, "http", limits, s.log)
	return nil
}

// Address returns the address on which the HTTP API listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Ready reports whether this entry VM should receive traffic: it is not shutting down, holds the state of its groups, and is
// a voter wherever the settings list it as one. A rolling restart must wait until a restarted VM is ready, so that it counts
// towards each quorum again before the next VM stops.
func (s *Server) Ready() bool {
	if s.draining.Load() || !memberReady(s.config.Status(), s.settings.ConfigVoters, s.settings.Id) {
		return false
	}
	for _, failureDomain := range s.settings.FailureDomains {
		hosted, found := s.domains[failureDomain.Name]
		if found && !memberReady(hosted.group.Status(), failureDomain.Voters, s.settings.Id) {
			return false
		}
	}
	return true
}

// memberReady reports whether a group member holds the state of the group and, if the settings list its VM as a voter,
// whether its current incarnation is a voter.
func memberReady(status replica.Status, voters []string, id string) bool {
	return status.Serving && (!slices.Contains(voters, id) || slices.Contains(status.Voters, status.Self))
}

// Run serves until ctx ends and then shuts down gracefully: it reports that it is not ready, waits for requests in flight,
// transfers leadership and releases all resources. After a fatal error it releases them immediately.
func (s *Server) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	if err := s.host.Start(); err != nil {
		s.closeComponents()
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
		s.log.Error().Str("event", "fatal").Err(err).Msg("entry VM stops after a fatal error")
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
	s.closeComponents()
	s.log.Info().Str("event", "stopped").Bool("graceful", graceful).Msg("entry VM stopped")
}

// drain gives the load balancer and the executors time to notice the shutdown, waits for requests in flight, and transfers
// the leadership of the groups.
func (s *Server) drain() {
	timeout, cancel := context.WithTimeout(context.Background(), s.settings.Timing.DrainTimeout.AsDuration())
	defer cancel()
	s.log.Info().Str("event", "draining").Dur("timeout", s.settings.Timing.DrainTimeout.AsDuration()).Msg("graceful shutdown")
	s.table.Drain()
	s.waitForExecutors(timeout)
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

// waitForExecutors waits for two announce intervals, so that each executor has time to learn from an announcement that it must
// move to another entry VM.
func (s *Server) waitForExecutors(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(2 * s.settings.Timing.AnnounceInterval.AsDuration()):
	}
}

// Close releases all resources immediately, without a graceful shutdown.
func (s *Server) Close() { s.closeComponents() }

// closeComponents closes the components that have been opened, also after a failed New.
func (s *Server) closeComponents() {
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
