package statemachine

import "stepwick/internal/decision/sheet"

// Verbs of the commands that concern the roster and the roles, as requests and
// the stored log have them; those of the configuration are in package sheet.
const (
	VerbRemove = "remove"
	VerbAdd    = "add"
	VerbSettle = "settle"
	VerbDuty   = "duty"
	VerbNoop   = "noop"
)

// Verb implements Command.
func (PutSheet) Verb() string { return sheet.VerbPut }

// Verb implements Command.
func (PatchSheet) Verb() string { return sheet.VerbPatch }

// Verb implements Command.
func (MergeSheet) Verb() string { return sheet.VerbMerge }

// Verb implements Command.
func (Evacuate) Verb() string { return sheet.VerbEvacuate }

// Verb implements Command.
func (Restore) Verb() string { return sheet.VerbRestore }

// Verb implements Command.
func (AddMembers) Verb() string { return VerbAdd }

// Verb implements Command.
func (RemoveMembers) Verb() string { return VerbRemove }

// Verb implements Command.
func (SettleRoster) Verb() string { return VerbSettle }

// Verb implements Command.
func (TakeDuty) Verb() string { return VerbDuty }

// Verb implements Command.
func (Noop) Verb() string { return VerbNoop }
