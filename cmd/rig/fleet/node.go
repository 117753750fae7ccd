package fleet

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/owner"
	"stepwick/internal/clock"
)

const (
	logMode             = 0o600
	listenTimeout       = time.Second
	listenCheckInterval = 20 * time.Millisecond // interval between checks whether a process listens
)

// Node is one node of the fleet and its process, if it is running.
type Node struct {
	NodeSpec
	SourceIP          string // local address of the node's outgoing connections
	CallerAddress     string
	internalAddress   string // address on which the node listens for other nodes
	advertisedAddress string // address of the node's proxy, which other nodes dial
	dataDir           string
	fleet             *Fleet
	state             *owner.Owner[nodeState]
}

type nodeState struct {
	process        *exec.Cmd     // nil while no process runs
	exited         chan struct{} // closed when the process has exited
	logSizeAtStart int64         // size of the log in bytes when the last process started
	lastExitCode   int
	lastSignal     syscall.Signal // signal that ended the last process; -1 for none
}

// Start starts the node's process unless it is running already. The node's proxy
// starts once the process listens.
func (n *Node) Start() error {
	args, err := n.prepareStart()
	if err != nil {
		return err
	}
	n.state.Do(func(s *nodeState) {
		if s.process == nil {
			err = n.startProcess(s, args)
		}
	})
	if err != nil {
		return errors.Wrap(err, n.Name)
	}
	n.fleet.Platform.CheckReadiness(n.Name, n.CallerAddress)
	return nil
}

func (n *Node) startProcess(s *nodeState, args []string) error {
	log, err := os.OpenFile(n.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode)
	if err != nil {
		return err
	}
	info, err := log.Stat()
	if err != nil {
		_ = log.Close()
		return err
	}
	process := exec.Command(n.Binary, args...)
	process.Stdout = log
	process.Stderr = log
	if err := n.fleet.spawner.Start(process); err != nil {
		_ = log.Close()
		return err
	}
	s.process = process
	s.logSizeAtStart = info.Size()
	s.exited = make(chan struct{})
	go n.awaitExit(process, log, s.exited)
	go n.startProxy(s.exited)
	return nil
}

// awaitExit waits for the process to exit and then stops the proxy, so that
// connections to the node are refused.
func (n *Node) awaitExit(process *exec.Cmd, log *os.File, exited chan struct{}) {
	_ = process.Wait()
	_ = log.Close()
	n.fleet.proxies[n.Name].Stop()
	n.state.Do(func(s *nodeState) {
		s.process = nil
		s.lastExitCode = process.ProcessState.ExitCode()
		s.lastSignal = terminatingSignal(process.ProcessState)
	})
	close(exited)
}

// startProxy starts the node's proxy once the process listens.
func (n *Node) startProxy(exited <-chan struct{}) {
	for !n.isListening() {
		timer, _ := clock.NewTimer(listenCheckInterval)
		select {
		case <-timer:
		case <-exited:
			return
		}
	}
	select {
	case <-exited:
	default:
		_ = n.fleet.proxies[n.Name].Start()
	}
}

func (n *Node) isListening() bool {
	conn, err := net.DialTimeout("tcp4", n.internalAddress, listenTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// LogFile returns the path of the file with the output of the node's processes.
func (n *Node) LogFile() string { return filepath.Join(n.fleet.Dir, n.Name+".log") }

// Running reports whether the process is running, and its process ID.
func (n *Node) Running() (pid int, running bool) {
	n.state.Do(func(s *nodeState) {
		if s.process != nil {
			pid = s.process.Process.Pid
			running = true
		}
	})
	return pid, running
}

// ExitCode returns the exit code of the last process that ended: -1 if a signal
// ended it, 0 if none has ended.
func (n *Node) ExitCode() int {
	code := 0
	n.state.Do(func(s *nodeState) { code = s.lastExitCode })
	return code
}

// terminatingSignal returns the signal that ended a process, or -1 if it exited by itself.
func terminatingSignal(state *os.ProcessState) syscall.Signal {
	if status, ok := state.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		return status.Signal()
	}
	return -1
}

// TerminatedBeforeStart reports whether the default action of SIGTERM ended the last
// process before it logged anything. The program installs its signal handler first,
// so such a process had not yet reached the program's main function.
func (n *Node) TerminatedBeforeStart() bool {
	var lastSignal syscall.Signal
	var logStart int64
	n.state.Do(func(s *nodeState) {
		lastSignal = s.lastSignal
		logStart = s.logSizeAtStart
	})
	info, err := os.Stat(n.LogFile())
	return err == nil && lastSignal == syscall.SIGTERM && info.Size() == logStart
}

// Kill sends SIGKILL and waits until the process has exited.
func (n *Node) Kill() {
	n.fleet.Recorder.AddAction("kill "+n.Name, false)
	n.killAndWait()
}

// Terminate sends SIGTERM, waits at most timeout for the process to exit, and kills it
// after that. It reports whether the process exited with code 0 or was not running.
func (n *Node) Terminate(timeout time.Duration) (clean bool) {
	return n.AwaitExit(n.SendTerminate(), timeout)
}

// SendTerminate sends SIGTERM and returns a channel that is closed when the process
// has exited, or nil if it is not running.
func (n *Node) SendTerminate() (exited <-chan struct{}) {
	n.fleet.Recorder.AddAction("term "+n.Name, false)
	return n.sendSignal(terminate)
}

// AwaitExit waits at most timeout on the channel from SendTerminate, then kills the
// process. It reports whether the process exited with code 0 or was not running.
func (n *Node) AwaitExit(exited <-chan struct{}, timeout time.Duration) (clean bool) {
	if exited == nil {
		return true
	}
	timer, stop := clock.NewTimer(timeout)
	defer stop()
	select {
	case <-exited:
		return n.ExitCode() == 0
	case <-timer:
		n.killAndWait()
		return false
	}
}

// Hangup sends SIGHUP to the process if it listens. An earlier SIGHUP could end the
// process by the signal's default action. It reports whether the signal was sent.
func (n *Node) Hangup() (sent bool) {
	pid, running := n.Running()
	if !running || !n.isListening() {
		return false
	}
	n.state.Do(func(s *nodeState) {
		if s.process != nil && s.process.Process.Pid == pid {
			sent = s.process.Process.Signal(hangup) == nil
		}
	})
	return sent
}

// Freeze suspends the process with SIGSTOP.
func (n *Node) Freeze() {
	n.fleet.Recorder.AddAction("freeze "+n.Name, false)
	n.fleet.Recorder.AddInterruption(n.Name)
	n.sendSignal(freeze)
}

// Thaw resumes a suspended process with SIGCONT.
func (n *Node) Thaw() {
	n.fleet.Recorder.AddAction("thaw "+n.Name, false)
	n.sendSignal(thaw)
	n.fleet.Recorder.AddInterruption(n.Name)
}

// sendSignal sends a signal to the process and returns a channel that is closed when the
// process has exited, or nil if it is not running.
func (n *Node) sendSignal(sig os.Signal) <-chan struct{} {
	var exited chan struct{}
	n.state.Do(func(s *nodeState) {
		if s.process == nil {
			return
		}
		exited = s.exited
		_ = s.process.Process.Signal(sig)
	})
	return exited
}

func (n *Node) killAndWait() {
	n.fleet.Recorder.AddInterruption(n.Name)
	if exited := n.sendSignal(kill); exited != nil {
		<-exited
	}
}

// SetSetting changes a setting of the node with effect from the next start or
// WriteSettings; an empty value removes the setting.
func (n *Node) SetSetting(name, value string) {
	if n.Settings == nil {
		n.Settings = map[string]string{}
	}
	n.Settings[name] = value
	if value == "" {
		delete(n.Settings, name)
	}
}

// WriteSettings rewrites the node's settings file without restarting the process.
func (n *Node) WriteSettings() error {
	_, err := n.prepareStart()
	return err
}

// UseBinary sets the path of the node's program, with effect from the next start.
func (n *Node) UseBinary(path string) { n.Binary = path }

// RunsBinary reports whether the node's process is running the executable at path.
func (n *Node) RunsBinary(path string) bool {
	pid, running := n.Running()
	if !running {
		return false
	}
	executed, err := os.Stat(filepath.Join("/proc", strconv.Itoa(pid), "exe"))
	if err != nil {
		return false
	}
	wanted, err := os.Stat(path)
	return err == nil && os.SameFile(executed, wanted)
}

func (n *Node) close() {
	if n.sendSignal(thaw) != nil {
		n.killAndWait()
	}
	n.state.Close()
}
