package fleet

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"stepwick/cmd/rig/owner"
	"stepwick/internal/clock"
)

// Node returns a node by name, or nil.
func (f *Fleet) Node(name string) *Node {
	for _, n := range f.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Node is one node and its process, if that runs.
type Node struct {
	NodeSpec
	SourceIP       string // address of its dials
	CallerAddress     string // address for callers
	internal   string
	advertised string
	data       string
	fleet      *Fleet
	state      *owner.Owner[nodeState]
}

type nodeState struct {
	cmd    *exec.Cmd
	exited chan struct{}
	code   int
	starts int
	frozen bool
}

// Command returns the arguments of the node's process after writing its
// settings file.
func (n *Node) command() ([]string, error) {
	f := n.fleet
	var seeds []string
	for _, wantCore := range []bool{false, true} {
		for _, other := range slices.Backward(f.Nodes) {
			if other != n && other.Core == wantCore && len(seeds) < 2 || wantCore && other.Core && other != n && len(seeds) < 3 {
				seeds = append(seeds, other.advertised)
			}
		}
	}
	voters := len(f.Cores())
	var keys []string
	for name, key := range OperatorKeys {
		keys = append(keys, name+":"+HashKey(key))
	}
	slices.Sort(keys)
	settings := map[string]string{"name": n.Name, "region": n.Region, "zone": n.Zone, "listen.caller": n.CallerAddress, "listen.internal": n.internal,
		"advertise.caller": n.CallerAddress, "advertise.internal": n.advertised, "bind": n.SourceIP, "seeds": strings.Join(seeds, ","),
		"core.voters": strconv.Itoa(voters), "platform.url": "http://" + f.Platform.Address + "/servers", "fleet.secret": secret,
		"operator.keys": strings.Join(keys, ",")}
	if n.Core {
		settings["data"] = n.data
	}
	for _, more := range []map[string]string{f.Spec.Settings, n.Settings} {
		for k, v := range more {
			settings[k] = v
		}
	}
	text, err := yaml.Marshal(settings)
	if err != nil {
		return nil, err
	}
	config := filepath.Join(f.Dir, n.Name+".yaml")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, errors.Wrap(err, n.Name)
	}
	role := "front"
	if n.Core {
		role = "core"
		if err := os.MkdirAll(n.data, 0o700); err != nil {
			return nil, errors.Wrap(err, n.Name)
		}
	}
	return []string{role, "--config", config}, nil
}

// Start runs the node's process. Its relay opens once the process listens.
func (n *Node) Start() error {
	args, err := n.command()
	if err != nil {
		return err
	}
	n.state.Do(func(s *nodeState) {
		if s.cmd != nil {
			return
		}
		var log *os.File
		if log, err = os.OpenFile(n.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return
		}
		cmd := exec.Command(n.Binary, args...)
		cmd.Stdout, cmd.Stderr = log, log
		if err = start(n.fleet.spawn, cmd); err != nil {
			log.Close()
			return
		}
		s.cmd, s.exited, s.frozen = cmd, make(chan struct{}), false
		s.starts++
		exited := s.exited
		go func() {
			_ = cmd.Wait()
			log.Close()
			n.fleet.proxies[n.Name].Stop()
			code := cmd.ProcessState.ExitCode()
			n.state.Do(func(s *nodeState) { s.cmd, s.code = nil, code })
			close(exited)
		}()
		go n.open(exited)
	})
	if err == nil {
		n.fleet.Platform.CheckReadiness(n.Name, n.CallerAddress)
	}
	return errors.Wrap(err, n.Name)
}

func (n *Node) open(exited chan struct{}) {
	for {
		c, err := net.DialTimeout("tcp4", n.internal, time.Second)
		if err == nil {
			c.Close()
			select {
			case <-exited:
			default:
				_ = n.fleet.proxies[n.Name].Start()
			}
			return
		}
		t, _ := clock.NewTimer(20 * time.Millisecond)
		select {
		case <-t:
		case <-exited:
			return
		}
	}
}

// LogFile is where the node's output goes.
func (n *Node) LogFile() string { return filepath.Join(n.fleet.Dir, n.Name+".log") }

// Running tells whether the process runs, and its number.
func (n *Node) Running() (pid int, running bool) {
	n.state.Do(func(s *nodeState) {
		if s.cmd != nil {
			pid, running = s.cmd.Process.Pid, true
		}
	})
	return
}

// ExitCode is that of the last process that ended.
func (n *Node) ExitCode() (code int) {
	n.state.Do(func(s *nodeState) { code = s.code })
	return
}

// Kill ends the process at once and waits for its end.
func (n *Node) Kill() {
	n.fleet.Recorder.AddAction("kill "+n.Name, false)
	n.signal(kill, true)
}

// Terminate asks the process to leave and waits for its end, at most d, then kills it.
// The process may be frozen.
func (n *Node) Terminate(d time.Duration) (clean bool) {
	n.fleet.Recorder.AddAction("term "+n.Name, false)
	exited := n.signal(term, false)
	if exited == nil {
		return true
	}
	t, stop := clock.NewTimer(d)
	defer stop()
	select {
	case <-exited:
		return n.ExitCode() == 0
	case <-t:
		n.signal(kill, true)
		return false
	}
}

// Freeze stops the process without ending it; Thaw lets it go on.
func (n *Node) Freeze() { n.fleet.Recorder.AddAction("freeze "+n.Name, false); n.signal(freeze, false) }

// Thaw lets a frozen process go on.
func (n *Node) Thaw() { n.fleet.Recorder.AddAction("thaw "+n.Name, false); n.signal(thaw, false) }

func (n *Node) signal(sig os.Signal, wait bool) (exited chan struct{}) {
	n.state.Do(func(s *nodeState) {
		if s.cmd == nil {
			return
		}
		exited = s.exited
		_ = s.cmd.Process.Signal(sig)
	})
	if wait && exited != nil {
		<-exited
	}
	return exited
}

// Wipe removes the node's data; the process must not run.
func (n *Node) Wipe() error {
	n.fleet.Recorder.AddAction("wipe "+n.Name, false)
	if err := os.RemoveAll(n.data); err != nil {
		return errors.Wrap(err, n.Name)
	}
	return os.MkdirAll(n.data, 0o700)
}

// SetSetting changes a setting of the node from its next start on; an empty value
// takes it back.
func (n *Node) SetSetting(name, value string) {
	if n.Settings == nil {
		n.Settings = map[string]string{}
	}
	n.Settings[name] = value
	if value == "" {
		delete(n.Settings, name)
	}
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

// TearLog appends half a record to the newest file of the log; the process must not run.
func (n *Node) TearLog() error {
	n.fleet.Recorder.AddAction("torn tail "+n.Name, false)
	newest := ""
	err := filepath.Walk(n.data, func(path string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() && (strings.Contains(info.Name(), "seg") || strings.HasSuffix(path, ".log")) {
			newest = max(newest, path)
		}
		return err
	})
	if err != nil || newest == "" {
		return errors.Wrapf(err, "%s has no log to tear", n.Name)
	}
	file, err := os.OpenFile(newest, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return errors.Wrap(err, n.Name)
	}
	defer file.Close()
	_, err = file.Write([]byte{0, 0, 1, 44, 9, 9, 9, 9, 7, 7, 7})
	return errors.Wrap(err, n.Name)
}

func (n *Node) close() {
	if exited := n.signal(thaw, false); exited != nil {
		n.signal(kill, true)
	}
	n.state.Close()
}
