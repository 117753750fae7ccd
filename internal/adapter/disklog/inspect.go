package disklog

import (
	"io/fs"

	"github.com/pkg/errors"
)

// Inspect reads a log's folder as Open does, but changes nothing in it. The Replay
// names the torn tail that Open would truncate and the snapshot that it would skip.
// A corrupt record is returned as a *CorruptionError.
func Inspect(folder string) (Replay, error) {
	return newWriter(newLog(Config{Folder: folder, FileSystem: readOnlyFileSystem{OSFileSystem()}})).recover()
}

// readOnlyFileSystem reads from a file system and discards changes: they succeed
// without effect, except that Create fails.
type readOnlyFileSystem struct{ FileSystem }

func (readOnlyFileSystem) MkdirAll(string) error { return nil }
func (readOnlyFileSystem) Create(string) (File, error) {
	return nil, errors.Wrap(fs.ErrPermission, "create file: folder is opened read-only")
}
func (readOnlyFileSystem) Open(string) (File, error)    { return discardFile{}, nil }
func (readOnlyFileSystem) Allocate(string, int64) error { return nil }
func (readOnlyFileSystem) Rename(string, string) error  { return nil }
func (readOnlyFileSystem) Remove(string) error          { return nil }
func (readOnlyFileSystem) SyncFolder(string) error      { return nil }

// discardFile is a file that discards changes.
type discardFile struct{}

func (discardFile) Write(p []byte) (int, error)    { return len(p), nil }
func (discardFile) Sync() error                    { return nil }
func (discardFile) Truncate(int64) error           { return nil }
func (discardFile) Seek(int64, int) (int64, error) { return 0, nil }
func (discardFile) Close() error                   { return nil }
