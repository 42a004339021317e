package placement

import "github.com/lentilyard/lentilyard/internal/resources"

// vector is an amount of each resource: millicores, bytes of memory and accelerators.
type vector = resources.Vector
