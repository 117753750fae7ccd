package gatewaysoak

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/owner"
	"stepwick/cmd/rig/spawn"
	"stepwick/internal/clock"
	"stepwick/platform"
	"stepwick/platform/standin"
)

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// startedMark is in the log of a process that handles signals. A signal sent before could
// end the process by its default action.
const startedMark = "event_name=process_started"

// process is a core or a front of a machine.
type process struct {
	name     string // of the machine and the role, as in the log
	role     string
	machine  standin.Machine
	binary   string
	older    string // program of the first start; binary if it is empty
	folder   string
	flags    []string // of the command line, beside the role
	spawner  *spawn.Spawner
	clock    clock.Clock
	recorder *standin.Recorder
	state    *owner.Owner[processState]
}

type processState struct {
	command *exec.Cmd // nil while the process does not run
	exited  chan struct{}
	logSize int64 // of the log when the process was started
	stopped bool  // whether the process was sent SIGTERM
	starts  int
}

func (p *process) settingsFile() string { return filepath.Join(p.folder, p.name+".toml") }

func (p *process) logFile() string { return filepath.Join(p.folder, p.name+".log") }

// writeSettings writes the settings file with further fields.
func (p *process) writeSettings(extra ...string) error {
	if err := os.MkdirAll(p.machine.DataDir, folderMode); err != nil {
		return errors.Wrap(err, "create the data folder")
	}
	// Renaming replaces the file at once, as the process may read it at any time.
	temporary := p.settingsFile() + ".new"
	if err := os.WriteFile(temporary, []byte(p.machine.Settings(extra...)), fileMode); err != nil {
		return errors.Wrap(err, "write the settings file")
	}
	return errors.Wrap(os.Rename(temporary, p.settingsFile()), "replace the settings file")
}

// start starts the process. It is part of the first start of the fleet only once.
func (p *process) start() error {
	var startErr error
	p.state.Do(func(s *processState) {
		p.machine.Bootstrap = s.starts == 0
		s.starts++
		startErr = p.startLocked(s)
	})
	return errors.Wrap(startErr, p.name)
}

// startLocked runs on the goroutine that owns the state.
func (p *process) startLocked(s *processState) error {
	if err := p.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.WithStack(err)
	}
	info, err := log.Stat()
	if err != nil {
		_ = log.Close()
		return errors.WithStack(err)
	}
	program := p.binary
	if p.older != "" && s.starts == 1 {
		program = p.older
	}
	command := exec.Command(program, append([]string{"platform", p.role}, p.flags...)...)
	command.Env = []string{platform.SettingsVariable + "=" + p.settingsFile()}
	command.Stdout, command.Stderr = log, log
	if err := p.spawner.Start(command); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	*s = processState{command: command, exited: exited, logSize: info.Size(), starts: s.starts}
	go func() {
		defer close(exited)
		_ = command.Wait()
		_ = log.Close()
	}()
	return nil
}

// handlesSignals reports whether the process that was started last has logged its start.
func (p *process) handlesSignals() bool {
	var logSize int64
	p.state.Do(func(s *processState) { logSize = s.logSize })
	return p.hasLoggedStart(logSize)
}

// hasLoggedStart reports whether the part of the log after an offset has the start of a process.
func (p *process) hasLoggedStart(offset int64) bool {
	data, err := os.ReadFile(p.logFile())
	return err == nil && int64(len(data)) > offset && bytes.Contains(data[offset:], []byte(startedMark))
}

// signal sends a signal to the process if it runs. It records the first SIGTERM.
func (p *process) signal(sent syscall.Signal) {
	p.signalIf(sent, func(*processState) bool { return true })
}

// signalHandled sends a signal to the process if it runs and handles signals.
func (p *process) signalHandled(sent syscall.Signal) {
	p.signalIf(sent, func(s *processState) bool { return p.hasLoggedStart(s.logSize) })
}

// signalIf sends a signal to the process if it runs and the condition holds. No other process
// is started in between.
func (p *process) signalIf(sent syscall.Signal, condition func(*processState) bool) {
	p.state.Do(func(s *processState) {
		if s.command == nil || !condition(s) {
			return
		}
		if sent == syscall.SIGTERM && !s.stopped {
			s.stopped = true
			p.recorder.AddStop(standin.Stop{Node: p.name, At: p.clock.Now()})
		}
		// The error of a process that has ended by now needs no action.
		_ = s.command.Process.Signal(sent)
	})
}

// awaitExit waits until the process has ended. After the timeout, or when the context
// ends, it kills the process. It returns an error unless the process ended by itself with
// code 0.
func (p *process) awaitExit(ctx context.Context, timeout time.Duration) error {
	var command *exec.Cmd
	var exited chan struct{}
	p.state.Do(func(s *processState) {
		command = s.command
		exited = s.exited
	})
	if command == nil {
		return nil
	}
	var problem error
	select {
	case <-exited:
	case <-p.clock.After(timeout):
		problem = errors.Errorf("%s did not exit within %s of SIGTERM", p.name, timeout)
	case <-ctx.Done():
	}
	_ = command.Process.Kill()
	<-exited
	p.state.Do(func(s *processState) { s.command = nil })
	if problem == nil && ctx.Err() == nil && command.ProcessState.ExitCode() != 0 {
		problem = errors.Errorf("%s ended with %s", p.name, command.ProcessState)
	}
	return problem
}

// awaitExitDuringStart is like awaitExit, but also accepts that SIGTERM ended the process
// before it had logged its start.
func (p *process) awaitExitDuringStart(ctx context.Context, timeout time.Duration) error {
	var command *exec.Cmd
	p.state.Do(func(s *processState) { command = s.command })
	err := p.awaitExit(ctx, timeout)
	if command == nil || err == nil {
		return err
	}
	status, ok := command.ProcessState.Sys().(syscall.WaitStatus)
	if ok && status.Signaled() && status.Signal() == syscall.SIGTERM && !p.handlesSignals() {
		return nil
	}
	return err
}

// hasExited reports whether a started process has ended.
func (p *process) hasExited() bool {
	var exited chan struct{}
	p.state.Do(func(s *processState) { exited = s.exited })
	select {
	case <-exited:
		return true
	default:
		return false
	}
}
