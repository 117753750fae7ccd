package fleet

import (
	"context"
	"os"
	"os/exec"
	"runtime"
	"syscall"
)

// Signals to a node's process.
var (
	kill      os.Signal = syscall.SIGKILL
	terminate os.Signal = syscall.SIGTERM
	hangup    os.Signal = syscall.SIGHUP
	freeze    os.Signal = syscall.SIGSTOP
	thaw      os.Signal = syscall.SIGCONT
)

// spawnRequest is a process to start; done receives the result.
type spawnRequest struct {
	process *exec.Cmd
	done    chan error
}

// runSpawner starts processes from one thread that lives as long as the fleet, so
// that the kernel ends them if the rig dies: the signal of Pdeathsig is sent when
// the thread that started the process ends.
func runSpawner(ctx context.Context, requests <-chan spawnRequest) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		select {
		case request := <-requests:
			request.process.SysProcAttr = &syscall.SysProcAttr{
				Pdeathsig: syscall.SIGKILL,
				Setpgid:   true,
			}
			request.done <- request.process.Start()
		case <-ctx.Done():
			return
		}
	}
}

func startBySpawner(requests chan<- spawnRequest, process *exec.Cmd) error {
	done := make(chan error, 1)
	requests <- spawnRequest{process, done}
	return <-done
}
