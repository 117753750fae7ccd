package fleet

import (
	"context"
	"os"
	"os/exec"
	"runtime"
	"syscall"
)

var (
	kill   os.Signal = syscall.SIGKILL
	term   os.Signal = syscall.SIGTERM
	freeze os.Signal = syscall.SIGSTOP
	thaw   os.Signal = syscall.SIGCONT
)

type spawnAsk struct {
	cmd  *exec.Cmd
	done chan error
}

// spawner starts processes from one thread that lives as long as the fleet, so
// that the kernel ends them should the rig die.
func spawner(ctx context.Context, asks <-chan spawnAsk) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		select {
		case ask := <-asks:
			ask.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
			ask.done <- ask.cmd.Start()
		case <-ctx.Done():
			return
		}
	}
}

func start(asks chan<- spawnAsk, cmd *exec.Cmd) error {
	done := make(chan error, 1)
	asks <- spawnAsk{cmd, done}
	return <-done
}
