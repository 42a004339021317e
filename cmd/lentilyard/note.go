package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lentilyard/lentilyard/internal/client"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/settings"
)

func addNotes(app *kingpin.Application, o *clientOptions) {
	note := app.Command("note", "Check and apply release notes.")
	addNoteCheck(note, o)
	addNoteApply(note, o)
	addNoteStatus(note, o)
	addNoteHistory(note, o)
}

func readNote(file string) (*pb.ReleaseNote, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read release note: %w", err)
	}
	note := new(pb.ReleaseNote)
	if err := settings.Decode(file, content, note); err != nil {
		return nil, err
	}
	return note, nil
}

// noteAndClient reads a release note and creates the client. It reads the note first, so that errors in the file are
// reported even if the token cannot be read.
func (o *clientOptions) noteAndClient(file string) (*pb.ReleaseNote, *client.Client, error) {
	note, err := readNote(file)
	if err != nil {
		return nil, nil, err
	}
	c, err := o.client()
	return note, c, err
}

func addNoteCheck(parent *kingpin.CmdClause, o *clientOptions) {
	command := parent.Command("check", "Print the changes that a release note would make.")
	file := command.Arg("file", "Release note in YAML.").Required().String()
	command.Action(func(*kingpin.ParseContext) error {
		note, c, err := o.noteAndClient(*file)
		if err != nil {
			return err
		}
		check, err := c.CheckNote(commandContext, note)
		if err != nil {
			return err
		}
		return o.print(check, func(row func(...any)) {
			row("ACTION", "CONTRACT", "BEFORE", "AFTER", "TASKS ENDED BY CHECKPOINT")
			for _, effect := range check.Effects {
				row(effect.Action, effect.Contract, limitsText(effect.Before), limitsText(effect.After), len(effect.TasksEvicted))
				for _, task := range effect.TasksEvicted {
					row("", "", "", "", task)
				}
			}
		})
	})
}

func addNoteApply(parent *kingpin.CmdClause, o *clientOptions) {
	command := parent.Command("apply", "Apply a release note atomically.")
	file := command.Arg("file", "Release note in YAML.").Required().String()
	command.Action(func(*kingpin.ParseContext) error {
		note, c, err := o.noteAndClient(*file)
		if err != nil {
			return err
		}
		accepted, err := c.ApplyNote(commandContext, note)
		if err != nil {
			return err
		}
		return o.print(accepted, func(row func(...any)) {
			row(fmt.Sprintf("note %d accepted: %d added, %d changed, %d withdrawn", accepted.Note.Number,
				len(accepted.Note.Add), len(accepted.Note.Change), len(accepted.Note.Withdraw)))
		})
	})
}

func addNoteStatus(parent *kingpin.CmdClause, o *clientOptions) {
	command := parent.Command("status", "Print on which entry VMs a note is in force.")
	number := command.Arg("number", "Number of the note.").Required().Uint64()
	command.Action(func(*kingpin.ParseContext) error {
		c, err := o.client()
		if err != nil {
			return err
		}
		status, err := c.NoteStatus(commandContext, *number)
		if err != nil {
			return err
		}
		return o.print(status, func(row func(...any)) {
			row("VM", "FAILURE DOMAIN", "REACHABLE", "IN FORCE", "LAST NOTE")
			for _, vm := range status.Vms {
				row(vm.Id, vm.FailureDomain, vm.Reachable, vm.InForce, vm.AppliedNote)
			}
		})
	})
}

func addNoteHistory(parent *kingpin.CmdClause, o *clientOptions) {
	command := parent.Command("history", "List the accepted notes.")
	command.Action(func(*kingpin.ParseContext) error {
		c, err := o.client()
		if err != nil {
			return err
		}
		notes, err := c.Notes(commandContext)
		if err != nil {
			return err
		}
		return o.print(notes, func(row func(...any)) {
			row("NUMBER", "AUTHOR", "ACCEPTED", "BY", "ADDED", "CHANGED", "WITHDRAWN")
			for _, accepted := range notes.Notes {
				note := accepted.Note
				row(note.Number, note.Author, timeText(accepted.AcceptedUnixMs), accepted.AcceptedBy,
					len(note.Add), len(note.Change), len(note.Withdraw))
			}
		})
	})
}

func addContracts(app *kingpin.Application, o *clientOptions) {
	command := app.Command("contracts", "List the contracts in force, as written and as resolved.")
	command.Action(func(*kingpin.ParseContext) error {
		c, err := o.client()
		if err != nil {
			return err
		}
		list, err := c.Contracts(commandContext)
		if err != nil {
			return err
		}
		return o.print(list, func(row func(...any)) {
			row("CONTRACT", "MEMBER", "TEAM", "NOTE", "WRITTEN", "RESOLVED")
			for _, contract := range list.Contracts {
				written := contract.Written
				row(written.Name, written.Member, written.Team, contract.Note, writtenText(written), limitsText(contract))
			}
		})
	})
}
