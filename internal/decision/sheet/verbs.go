package sheet

// Verbs of the commands.
const (
	VerbPut      = "put"
	VerbPatch    = "patch"
	VerbMerge    = "merge"
	VerbEvacuate = "evacuate"
	VerbRestore  = "restore"
	VerbRemove   = "remove"
	VerbAdd      = "add"
	VerbSettle   = "settle"
	VerbDuty     = "duty"
	VerbNoop     = "noop"
)

// Verb implements Command.
func (PutSheet) Verb() string { return VerbPut }

// Verb implements Command.
func (PatchSheet) Verb() string { return VerbPatch }

// Verb implements Command.
func (MergeSheet) Verb() string { return VerbMerge }

// Verb implements Command.
func (Evacuate) Verb() string { return VerbEvacuate }

// Verb implements Command.
func (Restore) Verb() string { return VerbRestore }

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
