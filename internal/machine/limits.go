// Package machine derives the limits of a process from its machine.
package machine

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"
)

const (
	megabyte = 1_000_000
	// programBytes is the memory of the program itself: code, libraries and what the runtime takes in an idle process.
	programBytes = 24 * megabyte
	// LeastMemoryMB is the least memory of a machine.
	LeastMemoryMB = 2 * programBytes / megabyte
	// fileDescriptors are the descriptors that are reserved for files of the program, its libraries and its log.
	fileDescriptors = 200

	// Shares of the memory beside the program. The rest is for bytes that the operating system holds for sockets.
	collectorShare = 0.8
	// StatelessShare and StatefulShare are the shares for unfinished requests of clients in a process without and with state.
	StatelessShare = 0.4
	StatefulShare  = 0.2
	// StateShare is the share for the submissions in a process with state.
	StateShare = 0.55
	// workerShare is the share of the descriptors that connections to workers may take (platform.NewWorkers).
	workerShare = 0.5
	// connectionShare is the share of the descriptors beside files and workers for connections of clients, and leastShare their least
	// share of all descriptors.
	connectionShare = 0.8
	leastShare      = 0.125
)

// Limits are the limits of one process.
type Limits struct {
	MemoryBytes int64
	Descriptors int64
}

// New returns the limits in the settings. It takes 0 for the memory of the machine and the descriptors that the operating system
// permits.
func New(memoryMB, descriptors uint32) Limits {
	l := Limits{int64(memoryMB) * megabyte, int64(descriptors)}
	if l.MemoryBytes == 0 {
		l.MemoryBytes = installedBytes()
	}
	if l.Descriptors == 0 {
		l.Descriptors = permittedDescriptors()
	}
	return l
}

func installedBytes() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return math.MaxInt64
	}
	return int64(info.Totalram) * int64(info.Unit)
}

func permittedDescriptors() int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int64(limit.Cur)
}

// free returns the memory beside the program.
func (l Limits) free() float64 { return float64(max(l.MemoryBytes-programBytes, programBytes)) }

// LimitCollector makes the garbage collector run earlier when the process comes near the memory of its machine.
func (l Limits) LimitCollector() { debug.SetMemoryLimit(int64(collectorShare * l.free())) }

// Bytes returns a share of the memory beside the program.
func (l Limits) Bytes(share float64) int64 { return int64(share * l.free()) }

// Connections returns the number of connections that clients may open.
func (l Limits) Connections() int {
	descriptors := float64(l.Descriptors)
	return max(int(connectionShare*(descriptors*(1-workerShare)-fileDescriptors)), int(leastShare*descriptors), 1)
}
