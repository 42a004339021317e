package peer

import (
	"os"
	"testing"
)

// TestMain silences the hint of quic-go about small UDP buffers, which are a property of the test machine.
func TestMain(m *testing.M) {
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
	os.Exit(m.Run())
}
