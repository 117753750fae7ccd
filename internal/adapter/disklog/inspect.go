package disklog

import (
	"io/fs"

	"github.com/pkg/errors"
)

// Inspect reads a log's folder as Open does, and changes nothing in it. What
// Open would cut off or skip is named in the Replay; a bad record is a
// *CorruptionError.
func Inspect(folder string) (Replay, error) {
	return newWriter(newLog(Config{Folder: folder, FileSystem: readOnly{System()}})).recover()
}

// readOnly is a file system that is only read: changes are reported as done.
type readOnly struct{ FileSystem }

func (readOnly) MkdirAll(string) error { return nil }
func (readOnly) Create(string) (File, error) {
	return nil, errors.Wrap(fs.ErrPermission, "the folder is only read")
}
func (readOnly) Open(string) (File, error)    { return discardFile{}, nil }
func (readOnly) Allocate(string, int64) error { return nil }
func (readOnly) Rename(string, string) error  { return nil }
func (readOnly) Remove(string) error          { return nil }
func (readOnly) SyncFolder(string) error      { return nil }

// discardFile is a file whose changes are discarded.
type discardFile struct{}

func (discardFile) Write(p []byte) (int, error)    { return len(p), nil }
func (discardFile) Sync() error                    { return nil }
func (discardFile) Truncate(int64) error           { return nil }
func (discardFile) Seek(int64, int) (int64, error) { return 0, nil }
func (discardFile) Close() error                   { return nil }
