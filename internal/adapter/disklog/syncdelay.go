package disklog

import (
	"time"

	"stepwick/internal/clock"
)

// WithSyncDelay returns a file system that delays every sync, to simulate a slow
// disk in tests.
func WithSyncDelay(base FileSystem, clock clock.Clock, delay time.Duration) FileSystem {
	return delayedFileSystem{FileSystem: base, clock: clock, delay: delay}
}

type delayedFileSystem struct {
	FileSystem
	clock clock.Clock
	delay time.Duration
}

type delayedFile struct {
	File
	wait func()
}

func (d delayedFileSystem) wait() { <-d.clock.After(d.delay) }

func (d delayedFileSystem) Create(path string) (File, error) {
	return d.wrap(d.FileSystem.Create(path))
}

func (d delayedFileSystem) Open(path string) (File, error) {
	return d.wrap(d.FileSystem.Open(path))
}

func (d delayedFileSystem) wrap(file File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return delayedFile{File: file, wait: d.wait}, nil
}

func (d delayedFileSystem) SyncFolder(folder string) error {
	d.wait()
	return d.FileSystem.SyncFolder(folder)
}

func (f delayedFile) Sync() error {
	f.wait()
	return f.File.Sync()
}
