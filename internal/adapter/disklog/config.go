package disklog

import (
	"time"

	"stepwick/internal/clock"
)

const (
	defaultSegmentBytes = 4 << 20
	defaultReserveBytes = 1 << 20
	// reserveDivisor divides a quota into the most that the reserve may take of
	// it.
	reserveDivisor = 4
)

// Config of a log. Sizes are in bytes.
type Config struct {
	Folder       string        // created when it is missing
	SegmentBytes int64         // a new segment is begun beyond this size; 0 is 4 MiB
	ReserveBytes int64         // kept free for snapshots and urgent records; 0 is 1 MiB, under a quota at most a quarter of it
	Quota        int64         // limit of all files together; 0 is none
	SyncDelay    time.Duration // added to every sync, for tests of slow disks
	FileSystem   FileSystem    // nil is the operating system's
	Clock        clock.Clock   // nil is the system's
}

func (cfg Config) withDefaults() Config {
	if cfg.SegmentBytes <= 0 {
		cfg.SegmentBytes = defaultSegmentBytes
	}
	if cfg.ReserveBytes <= 0 {
		cfg.ReserveBytes = defaultReserveBytes
	}
	if cfg.Quota > 0 {
		cfg.ReserveBytes = min(cfg.ReserveBytes, cfg.Quota/reserveDivisor)
	}
	if cfg.FileSystem == nil {
		cfg.FileSystem = System()
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System()
	}
	if cfg.SyncDelay > 0 {
		cfg.FileSystem = WithSyncDelay(cfg.FileSystem, cfg.Clock, cfg.SyncDelay)
	}
	return cfg
}
