package fleet

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Guards against a VM that starts with invalid settings, and against errors that do not name the invalid field.
func TestValidateNamesTheField(t *testing.T) {
	valid := &pb.FleetSettings{Id: "10.0.0.1", Seeds: []string{"10.0.0.2:80"}, DataFolder: "data", Orders: "call",
		Listen: &pb.FleetListen{Callers: "10.0.0.1:1", Ready: "10.0.0.1:2", Control: "10.0.0.1:3", Peer: "10.0.0.1:4"},
		Bounds: &pb.FleetBounds{LeaseMax: durationpb.New(time.Second)}}
	if err := Validate(valid, true); err != nil {
		t.Fatal(err)
	}
	for field, change := range map[string]func(*pb.FleetSettings){
		"id":              func(s *pb.FleetSettings) { s.Id = "vm-1" },
		"seeds":           func(s *pb.FleetSettings) { s.Seeds = nil },
		"listen.peer":     func(s *pb.FleetSettings) { s.Listen.Peer = "host:80" },
		"listen.control":  func(s *pb.FleetSettings) { s.Listen.Control = "" },
		"dataFolder":      func(s *pb.FleetSettings) { s.DataFolder = "" },
		"orders":          func(s *pb.FleetSettings) { s.Orders = "heartbeat" },
		"bounds.leaseMax": func(s *pb.FleetSettings) { s.Bounds = nil },
	} {
		s := proto.CloneOf(valid)
		change(s)
		if err := Validate(s, true); err == nil || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}
