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
	logMode         = 0o600
	listenTimeout   = time.Second
	listenCheckTime = 20 * time.Millisecond // between checks whether a process listens
)

// Node is one node and its process, if that runs.
type Node struct {
	NodeSpec
	SourceIP      string // from which it dials
	CallerAddress string
	internal      string // address on which it listens for other nodes
	advertised    string // address of its proxy, which it gives to other nodes
	dataDir       string
	fleet         *Fleet
	state         *owner.Owner[nodeState]
}

type nodeState struct {
	process      *exec.Cmd     // nil when it doesn't run
	exited       chan struct{} // closed when the process has ended
	logStart     int64         // size of the log when the last process started
	lastExitCode int
	lastSignal   syscall.Signal // that ended the last process; -1 for none
}

// Start runs the node's process; one that runs already stays as it is. The node's
// proxy starts once the process listens.
func (n *Node) Start() error {
	args, err := n.prepare()
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
	if err := startBySpawner(n.fleet.spawn, process); err != nil {
		_ = log.Close()
		return err
	}
	s.process = process
	s.logStart = info.Size()
	s.exited = make(chan struct{})
	go n.awaitExit(process, log, s.exited)
	go n.startProxy(s.exited)
	return nil
}

// awaitExit stops the proxy when the process has ended, so that connections to
// the node are refused.
func (n *Node) awaitExit(process *exec.Cmd, log *os.File, exited chan struct{}) {
	_ = process.Wait()
	_ = log.Close()
	n.fleet.proxies[n.Name].Stop()
	n.state.Do(func(s *nodeState) {
		s.process = nil
		s.lastExitCode = process.ProcessState.ExitCode()
		s.lastSignal = endingSignal(process.ProcessState)
	})
	close(exited)
}

// startProxy starts the node's proxy once the process listens.
func (n *Node) startProxy(exited <-chan struct{}) {
	for !n.listens() {
		timer, _ := clock.NewTimer(listenCheckTime)
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

func (n *Node) listens() bool {
	conn, err := net.DialTimeout("tcp4", n.internal, listenTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// LogFile returns the path of the node's log.
func (n *Node) LogFile() string { return filepath.Join(n.fleet.Dir, n.Name+".log") }

// Running reports whether the process runs, and its ID.
func (n *Node) Running() (pid int, running bool) {
	n.state.Do(func(s *nodeState) {
		if s.process != nil {
			pid = s.process.Process.Pid
			running = true
		}
	})
	return pid, running
}

// ExitCode returns that of the last process that ended.
func (n *Node) ExitCode() int {
	code := 0
	n.state.Do(func(s *nodeState) { code = s.lastExitCode })
	return code
}

// endingSignal returns the signal that ended a process, -1 for none.
func endingSignal(state *os.ProcessState) syscall.Signal {
	if status, ok := state.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		return status.Signal()
	}
	return -1
}

// TerminatedBeforeStart reports whether the last process was ended by the default
// action of SIGTERM before it had logged anything: its program had not begun, as the
// first thing that this does is to handle the signal.
func (n *Node) TerminatedBeforeStart() bool {
	var ended syscall.Signal
	var logStart int64
	n.state.Do(func(s *nodeState) {
		ended = s.lastSignal
		logStart = s.logStart
	})
	info, err := os.Stat(n.LogFile())
	return err == nil && ended == syscall.SIGTERM && info.Size() == logStart
}

// Kill ends the process at once and waits for its end.
func (n *Node) Kill() {
	n.fleet.Recorder.AddAction("kill "+n.Name, false)
	n.killAndWait()
}

// Terminate sends SIGTERM and waits for the end of the process, at most d, then
// kills it. It reports whether the process ended with code 0 or did not run.
func (n *Node) Terminate(d time.Duration) (clean bool) {
	return n.AwaitExit(n.SendTerminate(), d)
}

// SendTerminate sends SIGTERM and returns the channel that the end of the process
// closes; nil if it doesn't run.
func (n *Node) SendTerminate() (exited <-chan struct{}) {
	n.fleet.Recorder.AddAction("term "+n.Name, false)
	return n.signal(terminate)
}

// AwaitExit waits for the end of a process to which SendTerminate has sent
// SIGTERM, at most d, then kills it. It reports whether the process ended with
// code 0 or did not run.
func (n *Node) AwaitExit(exited <-chan struct{}, d time.Duration) (clean bool) {
	if exited == nil {
		return true
	}
	timer, stop := clock.NewTimer(d)
	defer stop()
	select {
	case <-exited:
		return n.ExitCode() == 0
	case <-timer:
		n.killAndWait()
		return false
	}
}

// Hangup sends SIGHUP to the process if it listens; before that, the default action
// of the signal would end it. It reports whether the signal was sent.
func (n *Node) Hangup() (sent bool) {
	pid, running := n.Running()
	if !running || !n.listens() {
		return false
	}
	n.state.Do(func(s *nodeState) {
		if s.process != nil && s.process.Process.Pid == pid {
			sent = s.process.Process.Signal(hangup) == nil
		}
	})
	return sent
}

// Freeze stops the process without ending it.
func (n *Node) Freeze() {
	n.fleet.Recorder.AddAction("freeze "+n.Name, false)
	n.fleet.Recorder.AddInterruption(n.Name)
	n.signal(freeze)
}

// Thaw continues a frozen process.
func (n *Node) Thaw() {
	n.fleet.Recorder.AddAction("thaw "+n.Name, false)
	n.signal(thaw)
	n.fleet.Recorder.AddInterruption(n.Name)
}

// signal sends a signal to the process, if it runs, and returns the channel that
// its end closes; nil if it doesn't run.
func (n *Node) signal(sig os.Signal) <-chan struct{} {
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
	if exited := n.signal(kill); exited != nil {
		<-exited
	}
}

// SetSetting changes a setting of the node from its next start on; an empty value
// removes it.
func (n *Node) SetSetting(name, value string) {
	if n.Settings == nil {
		n.Settings = map[string]string{}
	}
	n.Settings[name] = value
	if value == "" {
		delete(n.Settings, name)
	}
}

// WriteSettings writes the node's settings file anew, as its next start will.
func (n *Node) WriteSettings() error {
	_, err := n.prepare()
	return err
}

// UseBinary changes the path of the node's program from its next start on.
func (n *Node) UseBinary(path string) { n.Binary = path }

// RunsBinary reports whether the node's process runs and executes the file at a path.
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
	if n.signal(thaw) != nil {
		n.killAndWait()
	}
	n.state.Close()
}
