package placement

import "github.com/lentilyard/lentilyard/internal/resources"

// vector is an amount of each resource.
type vector = resources.Vector
