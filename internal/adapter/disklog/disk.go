package disklog

import (
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"stepwick/internal/clock"

	"github.com/pkg/errors"
)

// File is an open file of the log.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Truncate(size int64) error
	Seek(offset int64, whence int) (int64, error)
	Close() error
}

// Disk is what the log asks of a file system. Errors on a lack of room satisfy
// errors.Is(err, syscall.ENOSPC).
type Disk interface {
	MkdirAll(folder string) error
	List(folder string) ([]fs.FileInfo, error)
	Read(path string) ([]byte, error)
	Create(path string) (File, error) // empty; it replaces what was there
	Open(path string) (File, error)   // for writing
	Allocate(path string, size int64) error
	Rename(from, to string) error
	Remove(path string) error
	SyncFolder(folder string) error
}

// System returns the machine's file system.
func System() Disk { return system{} }

type system struct{}

func (system) MkdirAll(folder string) error { return os.MkdirAll(folder, 0o750) }

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
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, err
	}
	return f, nil
}

func (system) Open(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return nil, err
	}
	return f, nil
}

func (system) Allocate(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	err = syscall.Fallocate(int(f.Fd()), 0, 0, size)
	if closed := f.Close(); err == nil {
		err = closed
	}
	return err
}

func (system) Rename(from, to string) error { return os.Rename(from, to) }
func (system) Remove(path string) error     { return os.Remove(path) }

func (system) SyncFolder(folder string) error {
	f, err := os.Open(filepath.Clean(folder))
	if err != nil {
		return err
	}
	err = f.Sync()
	if closed := f.Close(); err == nil {
		err = closed
	}
	return err
}

// Slow returns a disk on which every sync takes longer by the delay.
func Slow(base Disk, clock clock.Clock, delay time.Duration) Disk {
	return slow{Disk: base, clock: clock, delay: delay}
}

type slow struct {
	Disk
	clock clock.Clock
	delay time.Duration
}

type slowFile struct {
	File
	wait func()
}

func (s slow) wait() { <-s.clock.After(s.delay) }

func (s slow) Create(path string) (File, error) { return s.file(s.Disk.Create(path)) }
func (s slow) Open(path string) (File, error)   { return s.file(s.Disk.Open(path)) }

func (s slow) file(f File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return slowFile{File: f, wait: s.wait}, nil
}

func (s slow) SyncFolder(folder string) error {
	s.wait()
	return s.Disk.SyncFolder(folder)
}

func (f slowFile) Sync() error {
	f.wait()
	return f.File.Sync()
}

func noRoom(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
