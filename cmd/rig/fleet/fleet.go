// Package fleet runs a whole deployment on one machine: nodes as real
// processes, stand-ins for everything else, and a relay on every link.
package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"stepwick/internal/kernel"

	"stepwick/cmd/rig/ledger"
	"stepwick/cmd/rig/own"
	"stepwick/cmd/rig/relay"
	"stepwick/cmd/rig/standin"
)

// Place is where a machine stands.
type Place struct{ Region, Zone string }

// Locality joins region and zone.
func (p Place) Locality() string { return p.Region + "/" + p.Zone }

// NodeSpec describes one node.
type NodeSpec struct {
	Name string
	Place
	Core     bool
	Settings map[string]string // over those that the fleet gives
}

// Spec describes a deployment.
type Spec struct {
	Nodes    []NodeSpec
	Models   []Place
	Webs     []Place
	Shape    standin.Shape
	Services struct{ Model, Web []string }
	Settings map[string]string // of all nodes
	Warm     bool              // servers begin warm
}

// First is the first deployment: 9 nodes, 3 of them cores, in three zones; 18
// model and 3 web servers.
func First() Spec {
	zones := []Place{{"lagos", "a"}, {"lagos", "b"}, {"abeokuta", "a"}}
	s := Spec{Shape: standin.Typical(), Warm: true}
	for i, z := range zones {
		s.Nodes = append(s.Nodes, NodeSpec{Name: fmt.Sprintf("core%d", i+1), Place: z, Core: true})
	}
	for i := range 6 {
		s.Nodes = append(s.Nodes, NodeSpec{Name: fmt.Sprintf("front%d", i+1), Place: zones[i%3]})
	}
	for i := range 10 {
		s.Models = append(s.Models, zones[i%2])
	}
	for range 8 {
		s.Models = append(s.Models, zones[2])
	}
	s.Webs = zones
	s.Services.Model = []string{"digest", "helpline", "headline"}
	s.Services.Web = []string{"outage", "repairs"}
	return s
}

// Operators and their keys.
var Operators = map[string]string{"ade": "operator-key-of-ade", "bola": "operator-key-of-bola"}

const secret = "rig-fleet-secret-0123456789"

// Hash is the hex SHA-256 of a key.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Fleet is a running deployment.
type Fleet struct {
	Spec     Spec
	Book     *ledger.Book
	Links    *relay.Links
	Platform *standin.Platform
	Nodes    []*Node
	Models   []*standin.Model
	Webs     []*standin.Web
	Dir      string
	Binary   string
	spawn    chan spawnAsk
	relays   map[string]*relay.Relay
	base     int
	places   map[string]Place
	stop     kernel.Cancel
}

// Build compiles the program into a folder and returns its path.
func Build(dir string) (string, error) {
	binary := filepath.Join(dir, "stepwick")
	out, err := exec.Command("go", "build", "-o", binary, "./cmd/stepwick").CombinedOutput()
	return binary, errors.Wrapf(err, "build stepwick: %s", out)
}

func freeBase() (int, error) {
	for i := range 60 {
		base := 10 + (os.Getpid()+i*37)%200
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.1.1:7900", base))
		if err == nil {
			l.Close()
			return base, nil
		}
	}
	return 0, errors.New("no free loopback range")
}

// New lays a deployment out without starting it. The binary is that of Build,
// the folder is the caller's to remove.
func New(spec Spec, binary, dir string, book *ledger.Book, seed uint64) (*Fleet, error) {
	base, err := freeBase()
	if err != nil {
		return nil, err
	}
	f := &Fleet{Spec: spec, Book: book, Links: relay.NewLinks(), Dir: dir, Binary: binary, base: base,
		spawn: make(chan spawnAsk), relays: map[string]*relay.Relay{}, places: map[string]Place{}}
	ctx, stop := kernel.WithCancel(kernel.Background())
	f.stop = stop
	go spawner(ctx, f.spawn)
	f.Platform = standin.NewPlatform(f.ip(1, 1)+":7900", book)
	sources := map[string]string{}
	for i, n := range spec.Nodes {
		ip := f.ip(20, i+1)
		sources[ip] = n.Name
		f.places[n.Name] = n.Place
		node := &Node{NodeSpec: n, fleet: f, Bind: ip, Caller: ip + ":7000", internal: ip + ":7001", advertised: f.ip(30, i+1) + ":7001",
			data: filepath.Join(dir, n.Name), state: own.New(nodeState{})}
		f.relays[n.Name] = relay.New(n.Name, node.advertised, node.internal, f.Links)
		f.Nodes = append(f.Nodes, node)
	}
	for i, place := range spec.Models {
		name := fmt.Sprintf("model%d", i+1)
		m := standin.NewModel(name, f.ip(50, i+1)+":8000", spec.Services.Model, spec.Shape, book, seed+uint64(i))
		f.Models = append(f.Models, m)
		f.places[name] = place
		f.relays[name] = relay.New(name, f.ip(40, i+1)+":8000", m.Address, f.Links)
	}
	for i, place := range spec.Webs {
		name := fmt.Sprintf("web%d", i+1)
		w := standin.NewWeb(name, f.ip(51, i+1)+":8000", spec.Services.Web, book, seed+100+uint64(i))
		f.Webs = append(f.Webs, w)
		f.places[name] = place
		f.relays[name] = relay.New(name, f.ip(41, i+1)+":8000", w.Address, f.Links)
	}
	f.Links.Names(sources)
	return f, nil
}

func (f *Fleet) ip(group, i int) string { return fmt.Sprintf("127.%d.%d.%d", f.base, group, i) }

// Start brings up the stand-ins, then the nodes.
func (f *Fleet) Start() error {
	if err := f.Platform.Start(); err != nil {
		return err
	}
	for _, m := range f.Models {
		if err := m.Start(); err != nil {
			return err
		}
		if f.Spec.Warm {
			m.Warm()
		}
	}
	for _, w := range f.Webs {
		if err := w.Start(); err != nil {
			return err
		}
		if f.Spec.Warm {
			w.Warm()
		}
	}
	for name, r := range f.relays {
		if f.Node(name) != nil {
			continue
		}
		if err := r.Open(); err != nil {
			return err
		}
		f.List(name, "ready")
	}
	for _, n := range f.Nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

// List shows a server on the platform's list in a state.
func (f *Fleet) List(name, state string) {
	kind, services := "model", f.Spec.Services.Model
	if strings.HasPrefix(name, "web") {
		kind, services = "web", f.Spec.Services.Web
	}
	place := f.places[name]
	f.Platform.Show(standin.Listed{Name: name, Address: f.relays[name].Address, Kind: kind, Services: services,
		Region: place.Region, Zone: place.Zone, State: state})
}

// Address is where nodes reach a server: that of its relay.
func (f *Fleet) Address(server string) string { return f.relays[server].Address }

// Place tells where a node or server stands.
func (f *Fleet) Place(name string) Place { return f.places[name] }

// Node returns a node by name, or nil.
func (f *Fleet) Node(name string) *Node {
	for _, n := range f.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Model returns a model server by name, or nil.
func (f *Fleet) Model(name string) *standin.Model {
	for _, m := range f.Models {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// From returns all nodes, beginning with number i.
func (f *Fleet) From(i int) []*Node {
	i %= len(f.Nodes)
	return append(slices.Clone(f.Nodes[i:]), f.Nodes[:i]...)
}

// Cores returns the nodes with a disk.
func (f *Fleet) Cores() []*Node {
	return slices.DeleteFunc(slices.Clone(f.Nodes), func(n *Node) bool { return !n.Core })
}

// Names returns the names of all nodes and servers that pass a filter.
func (f *Fleet) Names(keep func(name string, p Place) bool) []string {
	var out []string
	for name, place := range f.places {
		if keep(name, place) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Web returns a web server by name, or nil.
func (f *Fleet) Web(name string) *standin.Web {
	for _, w := range f.Webs {
		if w.Name == name {
			return w
		}
	}
	return nil
}

// CrashWeb ends a web server and has its address refuse.
func (f *Fleet) CrashWeb(name string) {
	f.Book.Mark("crash "+name, false)
	f.relays[name].Shut()
	f.Web(name).Crash()
}

// ReturnWeb brings a web server back.
func (f *Fleet) ReturnWeb(name string) error {
	f.Book.Mark("return "+name, false)
	if err := f.Web(name).Start(); err != nil {
		return err
	}
	return f.relays[name].Open()
}

// CrashModel ends a model server and has its address refuse.
func (f *Fleet) CrashModel(name string) {
	f.Book.Mark("crash "+name, false)
	f.relays[name].Shut()
	f.Model(name).Crash()
}

// ReturnModel brings a model server back, cold.
func (f *Fleet) ReturnModel(name string) error {
	f.Book.Mark("cold return "+name, false)
	if err := f.Model(name).Start(); err != nil {
		return err
	}
	return f.relays[name].Open()
}

// Close ends all that the fleet started.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		n.close()
	}
	for _, r := range f.relays {
		r.Close()
	}
	for _, m := range f.Models {
		m.Close()
	}
	for _, w := range f.Webs {
		w.Close()
	}
	f.Platform.Close()
	f.stop()
}

// Node is one node and its process, if that runs.
type Node struct {
	NodeSpec
	Bind       string // address of its dials
	Caller     string // address for callers
	internal   string
	advertised string
	data       string
	fleet      *Fleet
	state      *own.Owner[nodeState]
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
	for name, key := range Operators {
		keys = append(keys, name+":"+Hash(key))
	}
	slices.Sort(keys)
	settings := map[string]string{"name": n.Name, "region": n.Region, "zone": n.Zone, "listen.caller": n.Caller, "listen.internal": n.internal,
		"advertise.caller": n.Caller, "advertise.internal": n.advertised, "bind": n.Bind, "seeds": strings.Join(seeds, ","),
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
	n.state.Ask(func(s *nodeState) {
		if s.cmd != nil {
			return
		}
		var log *os.File
		if log, err = os.OpenFile(n.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return
		}
		cmd := exec.Command(n.fleet.Binary, args...)
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
			n.fleet.relays[n.Name].Shut()
			code := cmd.ProcessState.ExitCode()
			n.state.Ask(func(s *nodeState) { s.cmd, s.code = nil, code })
			close(exited)
		}()
		go n.open(exited)
	})
	if err == nil {
		n.fleet.Platform.Watch(n.Name, n.Caller)
	}
	return errors.Wrap(err, n.Name)
}

func (n *Node) open(exited chan struct{}) {
	for {
		c, err := net.DialTimeout("tcp4", n.internal, kernel.Second)
		if err == nil {
			c.Close()
			select {
			case <-exited:
			default:
				_ = n.fleet.relays[n.Name].Open()
			}
			return
		}
		t, _ := kernel.Timer(20 * kernel.Millisecond)
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
	n.state.Ask(func(s *nodeState) {
		if s.cmd != nil {
			pid, running = s.cmd.Process.Pid, true
		}
	})
	return
}

// ExitCode is that of the last process that ended.
func (n *Node) ExitCode() (code int) {
	n.state.Ask(func(s *nodeState) { code = s.code })
	return
}

// Kill ends the process at once and waits for its end.
func (n *Node) Kill() {
	n.fleet.Book.Mark("kill "+n.Name, false)
	n.signal(kill, true)
}

// Term asks the process to leave and waits for its end, at most d, then kills it.
// The process may be frozen.
func (n *Node) Term(d kernel.Duration) (clean bool) {
	n.fleet.Book.Mark("term "+n.Name, false)
	exited := n.signal(term, false)
	if exited == nil {
		return true
	}
	t, stop := kernel.Timer(d)
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
func (n *Node) Freeze() { n.fleet.Book.Mark("freeze "+n.Name, false); n.signal(freeze, false) }

// Thaw lets a frozen process go on.
func (n *Node) Thaw() { n.fleet.Book.Mark("thaw "+n.Name, false); n.signal(thaw, false) }

func (n *Node) signal(sig os.Signal, wait bool) (exited chan struct{}) {
	n.state.Ask(func(s *nodeState) {
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
	n.fleet.Book.Mark("wipe "+n.Name, false)
	if err := os.RemoveAll(n.data); err != nil {
		return errors.Wrap(err, n.Name)
	}
	return os.MkdirAll(n.data, 0o700)
}

// Set changes a setting of the node from its next start on; an empty value
// takes it back.
func (n *Node) Set(name, value string) {
	if n.Settings == nil {
		n.Settings = map[string]string{}
	}
	n.Settings[name] = value
	if value == "" {
		delete(n.Settings, name)
	}
}

// Tear appends half a record to the newest file of the log; the process must not run.
func (n *Node) Tear() error {
	n.fleet.Book.Mark("torn tail "+n.Name, false)
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
	n.state.End()
}
