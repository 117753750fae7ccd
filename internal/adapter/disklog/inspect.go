package disklog

import (
	"io/fs"

	"github.com/pkg/errors"
)

// Inspect reads a log's folder as Open does, and changes nothing in it. What
// Open would cut or pass over is named in the Replay; a bad record is a
// apierror.BadRecord error that names segment and offset.
func Inspect(folder string) (Replay, error) {
	w := &writer{Log: &Log{cfg: Config{Folder: folder}, disk: untouched{System()}}}
	return w.recover()
}

// untouched is a disk that is only read: changes are taken for done.
type untouched struct{ Disk }

func (untouched) MkdirAll(string) error { return nil }
func (untouched) Create(string) (File, error) {
	return nil, errors.Wrap(fs.ErrPermission, "the folder is only read")
}
func (untouched) Open(string) (File, error)    { return discarded{}, nil }
func (untouched) Allocate(string, int64) error { return nil }
func (untouched) Rename(string, string) error  { return nil }
func (untouched) Remove(string) error          { return nil }
func (untouched) SyncFolder(string) error      { return nil }

// discarded is a file that takes everything and keeps nothing.
type discarded struct{}

func (discarded) Write(p []byte) (int, error)    { return len(p), nil }
func (discarded) Sync() error                    { return nil }
func (discarded) Truncate(int64) error           { return nil }
func (discarded) Seek(int64, int) (int64, error) { return 0, nil }
func (discarded) Close() error                   { return nil }
