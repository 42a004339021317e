package emulator

import (
	"context"
	"time"
)

// FaultCutIntake is a fault in which an intake VM and the control VMs do not reach each other. It or all control VMs may restart meanwhile.
const FaultCutIntake FaultKind = "cut-intake"

const (
	// intakeCutsPerSecond is the mean rate of such faults.
	intakeCutsPerSecond = 0.15
	// intakeCutMinimum is the least duration of such a fault, in which other intake VMs find one that restarts.
	intakeCutMinimum = 4 * time.Second
	// intakeRestartShare and controlsRestartShare are the shares of these faults in which the intake VM or all control VMs restart: one in so
	// many.
	intakeRestartShare, controlsRestartShare = 2, 5
)

// injectIntakeCut cuts an intake VM off from the control VMs.
func (d *Deployment) injectIntakeCut(ctx context.Context, f Fault) error {
	v := d.intakes()[f.Subject%d.options.Size.Intakes]
	v.recordFault(true)
	defer v.recordFault(false)
	d.cutFromControls(v, true)
	defer d.cutFromControls(v, false)
	sleep(ctx, f.Duration/4)
	if f.Other%intakeRestartShare == 0 {
		v.kill()
		sleep(d.ctx, f.Duration/8) // also if the run ends meanwhile
		if err := v.start(); err != nil {
			return err
		}
	}
	if f.Other%controlsRestartShare == 0 {
		if err := d.restartControls(d.ctx, f.Duration/8); err != nil {
			return err
		}
	}
	sleep(ctx, intakeCutMinimum+f.Duration/2)
	return nil
}

// cutFromControls sets the links between a VM and the control VMs.
func (d *Deployment) cutFromControls(v *vm, cut bool) {
	for _, control := range d.controls() {
		setLinkPair(v, control, cut, cut, 0)
	}
}
