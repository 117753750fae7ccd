package sheet

// Verbs of the orders by which operators change the configuration, as they
// appear in requests and in the stored log.
const (
	VerbPut      = "put"
	VerbPatch    = "patch"
	VerbMerge    = "merge"
	VerbEvacuate = "evacuate"
	VerbRestore  = "restore"
)
