package fleet

import (
	"context"
	"os"
	"os/exec"
	"runtime"
	"syscall"
)

// Signals sent to the processes of nodes.
var (
	kill      os.Signal = syscall.SIGKILL
	terminate os.Signal = syscall.SIGTERM
	hangup    os.Signal = syscall.SIGHUP
	freeze    os.Signal = syscall.SIGSTOP
	thaw      os.Signal = syscall.SIGCONT
)

// spawnRequest asks runSpawner to start a process; done receives the error of Start.
type spawnRequest struct {
	process *exec.Cmd
	done    chan error
}

// runSpawner starts processes from one OS thread that lives as long as the fleet.
// The kernel sends Pdeathsig when the thread that started the process ends, so the
// processes are killed if the rig dies, but not while the fleet runs.
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

func startWithSpawner(requests chan<- spawnRequest, process *exec.Cmd) error {
	done := make(chan error, 1)
	requests <- spawnRequest{process, done}
	return <-done
}
