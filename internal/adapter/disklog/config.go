package disklog

import (
	"time"

	"stepwick/internal/clock"
)

const (
	defaultSegmentBytes = 4 << 20
	defaultReserveBytes = 1 << 20
	// reserveDivisor limits the reserve to this fraction of the quota.
	reserveDivisor = 4
)

// Config configures a log. Sizes are in bytes.
type Config struct {
	Folder       string        // created if missing
	SegmentBytes int64         // a segment larger than this is closed; 0 means 4 MiB
	ReserveBytes int64         // kept free for snapshots and urgent records; 0 means 1 MiB; at most a quarter of a quota
	QuotaBytes   int64         // limit on the total size of all files; 0 means no limit
	SyncDelay    time.Duration // added to every sync, to simulate a slow disk in tests
	FileSystem   FileSystem    // nil means OSFileSystem
	Clock        clock.Clock   // nil means the system clock
}

func (cfg Config) withDefaults() Config {
	if cfg.SegmentBytes <= 0 {
		cfg.SegmentBytes = defaultSegmentBytes
	}
	if cfg.ReserveBytes <= 0 {
		cfg.ReserveBytes = defaultReserveBytes
	}
	if cfg.QuotaBytes > 0 {
		cfg.ReserveBytes = min(cfg.ReserveBytes, cfg.QuotaBytes/reserveDivisor)
	}
	if cfg.FileSystem == nil {
		cfg.FileSystem = OSFileSystem()
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System()
	}
	if cfg.SyncDelay > 0 {
		cfg.FileSystem = WithSyncDelay(cfg.FileSystem, cfg.Clock, cfg.SyncDelay)
	}
	return cfg
}
