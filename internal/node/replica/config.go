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

// Config of a replica. Fields that are zero take the default named.
type Config struct {
	Self            string        // the core's name
	Voters          int           // cores of a first formation; 3
	FirstSheet      []byte        // JSON of a sheet to propose to a formation that has none, or nil
	MaxSheetBytes   int           // limit of FirstSheet; 16 MiB
	SnapshotRecords int           // records between snapshots; 1024
	SnapshotBytes   int64         // bytes of records between snapshots; 16 MiB
	CallTimeout     time.Duration // of one call in a ballot; 300ms
	RecoveryTimeout time.Duration // of one call in a recovery, which waits for slow disks; 10s
	PollInterval    time.Duration // between two polls of the other cores; 500ms
	Seed            uint64        // of the random backoff; 0 is derived from the name
	// OnReplaced is called, perhaps more than once, when another process has
	// this core's name in a later disk incarnation, or when the formation does
	// not include the core. It may be nil.
	OnReplaced func()
}

func (c Config) withDefaults() Config {
	setDefault(&c.Voters, defaultVoters)
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

// setDefault replaces a value that is not positive.
func setDefault[T int | int64 | time.Duration](value *T, byDefault T) {
	if *value <= 0 {
		*value = byDefault
	}
}
