package replica

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults of Config.
const (
	defaultVoters          = 3
	defaultMaxSheetBytes   = 16 << 20
	defaultSnapshotRecords = 1024
	defaultSnapshotBytes   = 16 << 20
	defaultCallTimeout     = 300 * time.Millisecond
	defaultRecoveryTimeout = 10 * time.Second
	defaultPollInterval    = 500 * time.Millisecond
)

// Config configures a Replica. Fields that are zero have the default given in their
// comment.
type Config struct {
	Self            string        // the core's name
	VoterCount      int           // number of cores that found the first formation; default 3
	FirstSheet      []byte        // JSON of a sheet to propose if the formation has none yet, or nil
	MaxSheetBytes   int           // maximum size of FirstSheet; default 16 MiB
	SnapshotRecords int           // records in the log after which a snapshot is written; default 1024
	SnapshotBytes   int64         // bytes of records after which a snapshot is written; default 16 MiB
	CallTimeout     time.Duration // per call in a ballot, poll or probe; default 300ms
	RecoveryTimeout time.Duration // per call that may wait for a slow disk to sync; default 10s
	PollInterval    time.Duration // between polls of the other cores; default 500ms
	Seed            uint64        // seed of the random backoff; default is a hash of Self
	// OnReplaced is called, possibly more than once, when another process runs
	// under this core's name with a later disk incarnation, or when the formation
	// does not include the core. It may be nil.
	OnReplaced func()
}

func (c Config) withDefaults() Config {
	setDefault(&c.VoterCount, defaultVoters)
	setDefault(&c.MaxSheetBytes, defaultMaxSheetBytes)
	setDefault(&c.SnapshotRecords, defaultSnapshotRecords)
	setDefault(&c.SnapshotBytes, defaultSnapshotBytes)
	setDefault(&c.CallTimeout, defaultCallTimeout)
	setDefault(&c.RecoveryTimeout, defaultRecoveryTimeout)
	setDefault(&c.PollInterval, defaultPollInterval)
	if c.Seed == 0 {
		c.Seed = xxhash.Sum64String(c.Self)
	}
	return c
}

// setDefault sets a value that is not positive to its default.
func setDefault[T int | int64 | time.Duration](value *T, byDefault T) {
	if *value <= 0 {
		*value = byDefault
	}
}
