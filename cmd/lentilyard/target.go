package main

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lentilyard/lentilyard/internal/pb"
)

func addTargets(app *kingpin.Application, o *clientOptions) {
	target := app.Command("target", "List and drain executors and workers.")
	addTargetList(target, o)
	addTargetDrain(target, o, "drain", "Assign no new work to a target. Its current work is finished or checkpointed.", true)
	addTargetDrain(target, o, "undrain", "Assign work to a drained target again.", false)
}

func addTargetList(parent *kingpin.CmdClause, o *clientOptions) {
	command := parent.Command("list", "List executors and workers.")
	kind := command.Flag("type", "Type of targets: executor, worker or all.").Default("all").Enum("executor", "worker", "all")
	command.Action(func(*kingpin.ParseContext) error {
		c, err := o.client()
		if err != nil {
			return err
		}
		list, err := c.Targets(commandContext)
		if err != nil {
			return err
		}
		list.Targets = filterTargets(list.Targets, *kind)
		warnUnreachable(list.UnreachableDomains)
		return o.print(list, func(row func(...any)) {
			row("ID", "TYPE", "FAILURE DOMAIN", "RACK", "SERVICE", "STATE", "HOLDER", "IN FLIGHT", "SLOTS", "USED", "CAPACITY")
			for _, t := range list.Targets {
				row(t.Id, t.Type, t.FailureDomain, t.Rack, t.Service, t.State, t.Holder, t.InFlight, t.Slots, resourcesText(t.Used), resourcesText(t.Capacity))
			}
		})
	})
}

func filterTargets(targets []*pb.TargetStatus, kind string) []*pb.TargetStatus {
	if kind == "all" {
		return targets
	}
	var selected []*pb.TargetStatus
	for _, target := range targets {
		if target.Type == kind {
			selected = append(selected, target)
		}
	}
	return selected
}

func addTargetDrain(parent *kingpin.CmdClause, o *clientOptions, name, help string, draining bool) {
	command := parent.Command(name, help)
	domain := command.Arg("domain", "Failure domain of the target.").Required().String()
	id := command.Arg("id", "Id of the target.").Required().String()
	command.Action(func(*kingpin.ParseContext) error {
		c, err := o.client()
		if err != nil {
			return err
		}
		if err := c.Drain(commandContext, *domain, *id, draining); err != nil {
			return err
		}
		fmt.Printf("%s of %s recorded\n", name, *id)
		return nil
	})
}

func addStatus(app *kingpin.Application, o *clientOptions) {
	command := app.Command("status", "Print the state of all entry VMs and their groups.")
	command.Action(func(*kingpin.ParseContext) error {
		c, err := o.client()
		if err != nil {
			return err
		}
		list, err := c.Status(commandContext)
		if err != nil {
			return err
		}
		return o.print(list, func(row func(...any)) {
			row("VM", "FAILURE DOMAIN", "READY", "NOTE", "GROUP", "ROLE", "LEADER", "TERM", "COMMIT", "APPLIED", "VOTERS")
			for _, vm := range list.Vms {
				for _, g := range vm.Groups {
					row(vm.Id, vm.FailureDomain, vm.Ready, vm.AppliedNote, g.Name, g.Role, g.Leader, g.Term, g.CommitIndex, g.AppliedIndex, strings.Join(g.Voters, " "))
				}
			}
			for _, id := range list.Unreachable {
				row(id, "", "unreachable")
			}
		})
	})
}
