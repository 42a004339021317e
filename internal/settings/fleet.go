package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Defaults of FleetSettings.bounds.
const (
	defaultGrace     = 6 * time.Second
	defaultRetention = 2 * time.Minute
	defaultStop      = time.Second
)

// LoadFleet reads the settings of an intake or control VM and sets defaults. It does not validate the values; see
// fleet.Validate.
func LoadFleet(path string) (*pb.FleetSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	r := newReport(path)
	s := &pb.FleetSettings{}
	decode(r, data, s)
	if err := r.err(); err != nil {
		return nil, err
	}
	if s.Bounds == nil {
		s.Bounds = &pb.FleetBounds{}
	}
	setDuration(&s.Bounds.Grace, defaultGrace)
	setDuration(&s.Bounds.Retention, defaultRetention)
	setDuration(&s.Bounds.Stop, defaultStop)
	if s.Orders == "" {
		s.Orders = "call"
	}
	return s, nil
}
