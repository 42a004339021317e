package main

import (
	"os"
	"path/filepath"
	"time"
)

func init() { scenarios["first-start"] = firstStart }

const (
	// firstStartTime is the time for all first starts of one run.
	firstStartTime = 95 * time.Second
	// formTime is how long the operator goes on to send the first manifest after all processes are back. The pages give ack_ms 4 s and
	// recover_s 12 s.
	formTime = 18 * time.Second
	// downTime is how long the killed processes are away. The pages say that they are back within a second.
	downTime = 500 * time.Millisecond
)

// stateSize returns the size of the files that a control VM has written.
func stateSize(p *process) int64 {
	size := int64(0)
	_ = filepath.Walk(filepath.Join(p.folder, "state"), func(_ string, info os.FileInfo, err error) error {
		if err == nil && info.Mode().IsRegular() {
			size += info.Size()
		}
		return nil
	})
	return size
}

// firstStart starts the system for the first time, kills all control VMs at the same moment while the group forms and starts them again.
func firstStart(w *world, trouble bool) bool {
	began := time.Now()
	for round := 1; time.Since(began) < firstStartTime-formTime-5*time.Second; round++ {
		accepted := w.firstStartOnce(round, trouble)
		if !w.allRun() {
			return false
		}
		if !accepted {
			w.breaks("hang", "round %d: no control VM has accepted the first manifest %.0f s after all were back", round, formTime.Seconds())
			return true
		}
		if !trouble && round == 3 {
			break
		}
	}
	return true
}

func (w *world) firstStartOnce(round int, trouble bool) bool {
	for _, p := range w.controls {
		p.kill()
		_ = os.RemoveAll(filepath.Join(p.folder, "state"))
		_ = os.MkdirAll(filepath.Join(p.folder, "state"), 0o700)
		_ = w.writeSettings(p, true)
	}
	for _, p := range w.controls {
		if w.start(p) != nil {
			return false
		}
	}
	if trouble {
		w.awaitFirstWrite()
		for _, p := range w.controls {
			p.signal(9)
		}
		for _, p := range w.controls {
			p.kill()
		}
		w.event("killed", "round", round, "bytes", []int64{stateSize(w.controls[0]), stateSize(w.controls[1]), stateSize(w.controls[2])})
		time.Sleep(downTime)
		for _, p := range w.controls {
			// The disks are no longer empty, so that the platform states bootstrap=false from now on.
			if w.writeSettings(p, false) != nil || w.start(p) != nil {
				return false
			}
		}
	}
	return w.putManifest(w.manifest(1), formTime)
}

// awaitFirstWrite returns once the first control VM has written more than its identity.
func (w *world) awaitFirstWrite() {
	first := int64(0)
	for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(200 * time.Microsecond) {
		size := stateSize(w.controls[0])
		if first == 0 && size > 28 {
			first = size
		}
		if first > 0 && size > first+60 {
			return
		}
	}
}
