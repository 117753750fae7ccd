package sheet

// Verbs of the orders that operators submit to change the configuration, as
// requests and the stored log have them.
const (
	VerbPut      = "put"
	VerbPatch    = "patch"
	VerbMerge    = "merge"
	VerbEvacuate = "evacuate"
	VerbRestore  = "restore"
)
