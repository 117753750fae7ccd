// Package spawn starts processes that are killed when the rig dies.
package spawn

import (
	"context"
	"os/exec"
	"runtime"
	"syscall"
)

// request asks the spawner's thread to start a process; done receives the error of Start.
type request struct {
	process *exec.Cmd
	done    chan error
}

// Spawner starts processes from one OS thread that lives as long as its context. The
// kernel sends Pdeathsig when the thread that started a process ends, so the processes
// are killed if the rig dies, but not while the spawner runs.
type Spawner struct {
	requests chan request
	ended    <-chan struct{}
	err      func() error
}

// New returns a spawner that runs until the context ends.
func New(ctx context.Context) *Spawner {
	spawner := &Spawner{requests: make(chan request), ended: ctx.Done(), err: ctx.Err}
	go spawner.serve()
	return spawner
}

func (s *Spawner) serve() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		select {
		case asked := <-s.requests:
			asked.process.SysProcAttr = &syscall.SysProcAttr{
				Pdeathsig: syscall.SIGKILL,
				Setpgid:   true,
			}
			asked.done <- asked.process.Start()
		case <-s.ended:
			return
		}
	}
}

// Start starts a process, whose SysProcAttr it sets. It returns the context's error if
// the spawner's context has ended.
func (s *Spawner) Start(process *exec.Cmd) error {
	asked := request{process: process, done: make(chan error, 1)}
	select {
	case s.requests <- asked:
		return <-asked.done
	case <-s.ended:
		return s.err()
	}
}
