package dispatch

import (
	"testing"

	"github.com/lentilyard/lentilyard/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }
