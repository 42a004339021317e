package settings

import (
	"fmt"
	"os"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Load reads the settings of an entry VM, sets defaults and validates the result.
// Relative paths in the settings are resolved against the working directory of the process.
func Load(path string) (*pb.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse is like Load, but takes the contents of the file. The file name is used only in errors.
func Parse(file string, data []byte) (*pb.Settings, error) {
	r := newReport(file)
	s := &pb.Settings{}
	decode(r, data, s)
	if err := r.err(); err != nil {
		return nil, err
	}
	rejectExplicitZeros(r, s)
	setDefaults(s)
	validate(r, s)
	if err := r.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Check validates settings that were not read from a file. Defaults must already be set. In errors, name takes the place
// of the file name.
func Check(name string, s *pb.Settings) error {
	r := newReport(name)
	validate(r, s)
	return r.err()
}

// Defaults returns the settings of a deployment with a single entry VM that has no disk and listens on loopback addresses.
func Defaults() *pb.Settings {
	const id, domain = "local", "local"
	s := &pb.Settings{
		Id:                id,
		Listen:            &pb.Listen{Http: "127.0.0.1:7080", Peer: "127.0.0.1:7081"},
		FailureDomains:    []*pb.FailureDomain{{Name: domain, Region: domain, Voters: []string{id}}},
		ConfigVoters:      []string{id},
		AllowMemoryQuorum: true,
		Units:             StandardUnits(),
	}
	s.EntryVms = []*pb.EntryVM{{Id: id, FailureDomain: domain, HttpAddress: s.Listen.Http, PeerAddress: s.Listen.Peer}}
	setDefaults(s)
	return s
}

// StandardUnits returns a table of common units. It is not merged into the settings read from a file: contracts can use
// only the units that the operator listed there.
func StandardUnits() []*pb.Unit {
	unit := func(name, dimension, factor string) *pb.Unit {
		return &pb.Unit{Name: name, Dimension: dimension, Factor: factor}
	}
	return []*pb.Unit{
		unit("millicore", "processor", "1"), unit("core", "processor", "1000"),
		unit("byte", "memory", "1"), unit("MiB", "memory", "1048576"), unit("GiB", "memory", "1073741824"),
		unit("MB", "memory", "1000000"), unit("GB", "memory", "1000000000"),
		unit("device", "accelerator", "1"),
		unit("ms", "time", "1"), unit("s", "time", "1000"), unit("min", "time", "60000"), unit("h", "time", "3600000"),
		unit("request/s", "rate", "1000"), unit("request/min", "rate", "50/3"),
		unit("task", "count", "1"),
	}
}

// Defaults of Settings. The comments in settings.proto state the same values.
const (
	defaultAnnounceLease      = 2 * time.Second
	defaultAnnounceInterval   = 500 * time.Millisecond
	defaultAttemptLease       = 10 * time.Second
	defaultLoadReportInterval = 100 * time.Millisecond
	defaultRaftHeartbeat      = 50 * time.Millisecond
	defaultRaftElection       = 300 * time.Millisecond
	defaultDrainTimeout       = 30 * time.Second
	defaultDeadline           = 30 * time.Second
	defaultMaxBodyBytes       = 1 << 30
	defaultMaxQueue           = 1024
	defaultRetryBudgetPercent = 10
	defaultMaxRequestRecords  = 1_000_000
	defaultWeight             = 1
)

func setDefaults(s *pb.Settings) {
	if s.Listen == nil {
		s.Listen = &pb.Listen{}
	}
	setTimingDefaults(s)
	setLimitDefaults(s)
	if s.Policy == nil {
		s.Policy = &pb.Policy{}
	}
	setDefault(&s.Policy.TailLatencyWeight, defaultWeight)
	setDefault(&s.Policy.ThroughputWeight, defaultWeight)
	if s.Log == nil {
		s.Log = &pb.LogSettings{}
	}
	setDefault(&s.Log.Level, "info")
	setDefault(&s.Log.Decisions, "on")
}

func setTimingDefaults(s *pb.Settings) {
	if s.Timing == nil {
		s.Timing = &pb.Timing{}
	}
	t := s.Timing
	setDuration(&t.AnnounceLease, defaultAnnounceLease)
	setDuration(&t.AnnounceInterval, defaultAnnounceInterval)
	setDuration(&t.AttemptLease, defaultAttemptLease)
	setDuration(&t.LoadReportInterval, defaultLoadReportInterval)
	setDuration(&t.RaftHeartbeat, defaultRaftHeartbeat)
	setDuration(&t.RaftElection, defaultRaftElection)
	setDuration(&t.DrainTimeout, defaultDrainTimeout)
}

func setLimitDefaults(s *pb.Settings) {
	if s.Limits == nil {
		s.Limits = &pb.Limits{}
	}
	l := s.Limits
	setDefault(&l.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&l.MaxQueue, defaultMaxQueue)
	setDefault(&l.RetryBudgetPercent, defaultRetryBudgetPercent)
	setDefault(&l.MaxRequestRecords, defaultMaxRequestRecords)
	setDuration(&l.DefaultDeadline, defaultDeadline)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func setDuration(field **durationpb.Duration, value time.Duration) {
	if *field == nil {
		*field = durationpb.New(value)
	}
}
