package replica

import (
	"stepwick/internal/adapter/disklog"
)

// Log is the durable log of a replica; *disklog.Log implements and documents it.
type Log interface {
	Append(records [][]byte, priority disklog.Priority) (index uint64, err error)
	WriteSnapshot(data []byte) (done <-chan error)
	LastIndex() uint64
	Synced() <-chan uint64
	Failed() <-chan struct{}
	Err() error
	Full() bool
	Close() error
}

// Replay is the contents of a log when it was opened.
type Replay = disklog.Replay

// OpenLog opens the log. It is called each time that the replica starts.
type OpenLog func() (Log, Replay, error)

// OnDisk opens logs in the folder of the configuration.
func OnDisk(cfg disklog.Config) OpenLog {
	return func() (Log, Replay, error) {
		log, replay, err := disklog.Open(cfg)
		if err != nil {
			return nil, replay, err
		}
		return log, replay, nil
	}
}
