// Package dev runs a single entry VM with simulated executors and workers in one process, for trying out lentilyard without
// configuration.
package dev

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/lentilyard/lentilyard/internal/credentials"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/server"
	"github.com/lentilyard/lentilyard/internal/settings"
	"github.com/lentilyard/lentilyard/internal/standin"
)

const (
	executorCount     = 3
	workerCount       = 3
	workerCores       = 32
	workerMemoryBytes = 125_000_000_000
	service           = "kit-orders"
	member            = "hanbit"
	operatorToken     = "dev-operator"
	callerToken       = "dev-caller"
	executorToken     = "dev-target"
	workerToken       = "dev-worker"
	millicoresPerCore = 1000
)

// Settings returns the settings of the embedded entry VM. Its tokens are the constants of this package.
func Settings(dataFolder string) *pb.Settings {
	s := settings.Defaults()
	s.DataFolder = dataFolder
	s.Tokens = []*pb.Token{
		token("operator", operatorToken, "operator", ""),
		token("caller", callerToken, "caller", member),
		token("executors", executorToken, "target", ""),
		token("workers", workerToken, "worker", ""),
	}
	return s
}

func token(name, secret, role, ofMember string) *pb.Token {
	digest := sha256.Sum256([]byte(secret))
	return &pb.Token{Name: name, Sha256: hex.EncodeToString(digest[:]), Role: role, Member: ofMember}
}

// Run runs the entry VM and its targets until ctx ends. The state is kept in a temporary folder that Run removes at the end.
func Run(ctx context.Context, version string, logger zerolog.Logger, out io.Writer) error {
	folder, err := os.MkdirTemp("", "lentilyard-dev-")
	if err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	defer os.RemoveAll(folder)
	s := Settings(filepath.Join(folder, "data"))
	if err := issueCertificates(s, folder); err != nil {
		return err
	}
	entryVM, err := server.New(server.Options{Settings: s, Version: version, Logger: logger})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "entry VM on http://%s, tokens %s (operator) and %s (caller of member %s); stop with Ctrl-C\n",
		entryVM.Address(), operatorToken, callerToken, member)
	return runAll(ctx, entryVM, s.EntryVms[0].FailureDomain, logger)
}

// issueCertificates creates a certificate authority and a certificate in the folder and sets their paths in the settings.
func issueCertificates(s *pb.Settings, folder string) error {
	now := time.Now()
	authority, err := credentials.NewAuthority("lentilyard dev", credentials.AuthorityValidity, now)
	if err != nil {
		return err
	}
	certificate, key, err := authority.Issue(s.Id, credentials.CertificateValidity, now)
	if err != nil {
		return err
	}
	files := &pb.PeerTLS{
		CaFile:   filepath.Join(folder, "ca.pem"),
		CertFile: filepath.Join(folder, "vm.pem"),
		KeyFile:  filepath.Join(folder, "vm-key.pem"),
	}
	s.PeerTls = files
	if err := authority.Save(files.CaFile, filepath.Join(folder, "ca-key.pem")); err != nil {
		return err
	}
	return credentials.WritePair(files.CertFile, certificate, files.KeyFile, key)
}

// runAll runs the entry VM and its targets. The targets stop first, so that they can still report to the entry VM that they
// drain.
func runAll(ctx context.Context, entryVM *server.Server, failureDomain string, logger zerolog.Logger) error {
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	served := make(chan error, 1)
	go func() { served <- entryVM.Run(serving) }()
	targets, targetCtx := errgroup.WithContext(ctx)
	for i := range executorCount {
		targets.Go(func() error { return newExecutor(i, failureDomain, entryVM.Address(), logger).Run(targetCtx) })
	}
	for i := range workerCount {
		targets.Go(func() error { return newWorker(i, failureDomain, entryVM.Address(), logger).Run(targetCtx) })
	}
	err := targets.Wait()
	stopServing()
	if serveErr := <-served; serveErr != nil {
		return serveErr
	}
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func newExecutor(i int, failureDomain, address string, logger zerolog.Logger) *standin.Executor {
	return standin.NewExecutor(standin.ExecutorOptions{
		ID:       fmt.Sprintf("executor-%d", i+1),
		Domain:   failureDomain,
		Rack:     "rack-1",
		Service:  service,
		EntryVMs: []string{address},
		Token:    executorToken,
		Logger:   logger,
	})
}

func newWorker(i int, failureDomain, address string, logger zerolog.Logger) *standin.Worker {
	return standin.NewWorker(standin.WorkerOptions{
		ID:            fmt.Sprintf("worker-%d", i+1),
		FailureDomain: failureDomain,
		Rack:          "rack-1",
		Capacity:      &pb.Resources{Millicores: workerCores * millicoresPerCore, MemoryBytes: workerMemoryBytes},
		Guards:        true,
		EntryVMs:      []string{"http://" + address},
		Token:         workerToken,
		Logger:        logger,
	})
}
