package peer

import (
	"os"
	"testing"
)

// TestMain turns off quic-go's warning about small UDP buffers, whose size depends on the test machine.
func TestMain(m *testing.M) {
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
	os.Exit(m.Run())
}
