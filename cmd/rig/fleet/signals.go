package fleet

import (
	"os"
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
