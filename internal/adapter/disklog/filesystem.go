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

// FileSystem is what the log needs of a file system. An error for lack of room
// satisfies errors.Is with syscall.ENOSPC or syscall.EDQUOT.
type FileSystem interface {
	MkdirAll(folder string) error
	List(folder string) ([]fs.FileInfo, error)
	Read(path string) ([]byte, error)
	// Create opens an empty file for writing, in place of one of that name.
	Create(path string) (File, error)
	// Open opens an existing file for writing.
	Open(path string) (File, error)
	// Allocate creates a file and reserves blocks for its size in bytes.
	Allocate(path string, size int64) error
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes the names of the files in a folder durable.
	SyncFolder(folder string) error
}

// Modes of what the log creates: readable by its group, closed to others.
const (
	folderMode = 0o750
	fileMode   = 0o640
)

// System returns the operating system's file system.
func System() FileSystem { return system{} }

type system struct{}

func (system) MkdirAll(folder string) error { return os.MkdirAll(folder, folderMode) }

func (system) List(folder string) ([]fs.FileInfo, error) {
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

func (system) Read(path string) ([]byte, error) { return os.ReadFile(path) }

func (system) Create(path string) (File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	return file, nil
}

func (system) Open(path string) (File, error) {
	file, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return nil, err
	}
	return file, nil
}

func (system) Allocate(path string, size int64) error {
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

func (system) Rename(from, to string) error { return os.Rename(from, to) }
func (system) Remove(path string) error     { return os.Remove(path) }

func (system) SyncFolder(folder string) error {
	opened, err := os.Open(filepath.Clean(folder))
	if err != nil {
		return err
	}
	err = opened.Sync()
	if closeErr := opened.Close(); err == nil {
		err = closeErr
	}
	return err
}
