package replica

import (
	"stepwick/internal/adapter/disklog"
)

// Log is a replica's write-ahead log. *disklog.Log implements it and documents its
// methods.
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

// Replay holds what a log contained when it was opened.
type Replay = disklog.Replay

// OpenLog opens the log. It is called at each start of Replica.Serve.
type OpenLog func() (Log, Replay, error)

// OnDisk returns an OpenLog that opens a disklog.Log.
func OnDisk(cfg disklog.Config) OpenLog {
	return func() (Log, Replay, error) {
		log, replay, err := disklog.Open(cfg)
		if err != nil {
			return nil, replay, err
		}
		return log, replay, nil
	}
}
