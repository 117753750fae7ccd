package disklog

import (
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// File is an open file of the log.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Truncate(size int64) error
	Seek(offset int64, whence int) (int64, error)
	Close() error
}

// FileSystem holds the file system operations that the log uses. An error for lack
// of space must satisfy errors.Is with syscall.ENOSPC or syscall.EDQUOT.
type FileSystem interface {
	MkdirAll(folder string) error
	List(folder string) ([]fs.FileInfo, error)
	ReadFile(path string) ([]byte, error)
	// Create creates or truncates a file and opens it for writing.
	Create(path string) (File, error)
	// Open opens an existing file for writing.
	Open(path string) (File, error)
	// Allocate creates a file if necessary and allocates size bytes of disk
	// blocks for it.
	Allocate(path string, size int64) error
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes the folder's directory entries durable.
	SyncFolder(folder string) error
}

// Modes of created files and folders: readable by the group, no access for others.
const (
	folderMode = 0o750
	fileMode   = 0o640
)

// OSFileSystem returns the operating system's file system.
func OSFileSystem() FileSystem { return osFileSystem{} }

type osFileSystem struct{}

func (osFileSystem) MkdirAll(folder string) error { return os.MkdirAll(folder, folderMode) }

func (osFileSystem) List(folder string) ([]fs.FileInfo, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	infos := make([]fs.FileInfo, 0, len(entries))
	for _, entry := range entries {
		info, err := entry.Info()
		if err != nil {
			return nil, err
		}
		infos = append(infos, info)
	}
	return infos, nil
}

func (osFileSystem) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFileSystem) Create(path string) (File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	return file, nil
}

func (osFileSystem) Open(path string) (File, error) {
	file, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return nil, err
	}
	return file, nil
}

func (osFileSystem) Allocate(path string, size int64) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	err = syscall.Fallocate(int(file.Fd()), 0, 0, size)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }
func (osFileSystem) Remove(path string) error     { return os.Remove(path) }

func (osFileSystem) SyncFolder(folder string) error {
	dir, err := os.Open(filepath.Clean(folder))
	if err != nil {
		return err
	}
	err = dir.Sync()
	if closeErr := dir.Close(); err == nil {
		err = closeErr
	}
	return err
}
