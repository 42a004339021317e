package replica

import (
	"errors"
	"time"

	"github.com/lentilyard/lentilyard/internal/raft"
	"github.com/lentilyard/lentilyard/internal/wal"
)

// A full disk is no failed disk: nothing that was synced is in doubt. A member whose disk is full stays in the group, votes for nobody
// and acknowledges no entry, hands the leadership over and continues by itself once there is room.

// startRoomTimeout is how long a start waits for room on the disk before it fails.
const startRoomTimeout = 30 * time.Second

// openDisk opens the storage of the group. If the disk has no room for the identity of this start, it waits.
func (g *Group) openDisk() (*diskStorage, *recoveredState, error) {
	for began, logged := time.Now(), false; ; time.Sleep(fullRetryInterval) {
		fs, err := g.host.cfg.openFS(groupFolder(g.host.cfg.DataFolder, g.cfg.Name))
		if err != nil {
			return nil, nil, err
		}
		disk, state, err := openDisk(fs, g.cfg.Open, g.cfg.Voters)
		if !errors.Is(err, wal.ErrDiskFull) || time.Since(began) > startRoomTimeout {
			return disk, state, err
		}
		if !logged {
			logged = true
			g.host.cfg.Logger.Error().Str("event", "disk-full").Str("group", g.cfg.Name).Err(err).Msg("the disk is full; the start waits for room")
		}
	}
}

// setDiskFull records that a write found no room on the disk, or with nil that it has succeeded since.
func (g *Group) setDiskFull(err error) {
	g.diskFull, g.ticksToHandover = err != nil, 0
	g.metrics.setDiskFull(g.diskFull)
	if err != nil {
		g.host.cfg.Logger.Error().Str("event", "disk-full").Str("group", g.cfg.Name).Err(err).
			Msg("the disk is full; this VM does not vote and acknowledges no entries until there is room")
		return
	}
	g.host.cfg.Logger.Info().Str("event", "disk-has-room").Str("group", g.cfg.Name).Msg("the disk has room again; this VM votes and acknowledges entries")
}

// handOverIfFull hands the leadership to another voter while the disk is full. It tries again after two election timeouts.
func (g *Group) handOverIfFull() {
	if !g.diskFull || g.node.Role() != raft.Leader {
		return
	}
	if g.ticksToHandover--; g.ticksToHandover < 0 {
		g.ticksToHandover = int(2 * g.host.cfg.Election / g.host.tick)
		_ = g.node.TransferLeadership() // without another voter this VM stays the leader and commits nothing
	}
}
