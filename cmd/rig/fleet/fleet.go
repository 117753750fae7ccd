// Package fleet runs a whole deployment on one machine: nodes as real
// processes, stand-ins for everything else, and a relay on every link.
package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/emulator"
	"stepwick/cmd/rig/faultproxy"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/owner"
)

// LocationOf is where a machine stands.
type Location struct{ Region, Zone string }

// ZoneName joins region and zone.
func (p Location) ZoneName() string { return p.Region + "/" + p.Zone }

// NodeSpec describes one node.
type NodeSpec struct {
	Name string
	Location
	Core     bool
	Settings map[string]string // over those that the fleet gives
	Binary   string            // path of the node's program; empty for the fleet's
}

// Spec describes a deployment.
type Spec struct {
	Nodes    []NodeSpec
	Models   []Location
	Webs     []Location
	ModelSpec    emulator.ModelSpec
	Services struct{ Model, Web []string }
	Settings map[string]string // of all nodes
	ServersWarm     bool              // servers begin warm
}

// FirstDeployment is the first deployment: 9 nodes, 3 of them cores, in three zones; 18
// model and 3 web servers.
func FirstDeployment() Spec {
	zones := []Location{{"lagos", "a"}, {"lagos", "b"}, {"abeokuta", "a"}}
	s := Spec{ModelSpec: emulator.TypicalModel(), ServersWarm: true}
	for i, z := range zones {
		s.Nodes = append(s.Nodes, NodeSpec{Name: fmt.Sprintf("core%d", i+1), Location: z, Core: true})
	}
	for i := range 6 {
		s.Nodes = append(s.Nodes, NodeSpec{Name: fmt.Sprintf("front%d", i+1), Location: zones[i%3]})
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

// OperatorKeys and their keys.
var OperatorKeys = map[string]string{"ade": "operator-key-of-ade", "bola": "operator-key-of-bola"}

const secret = "rig-fleet-secret-0123456789"

// HashKey is the hex SHA-256 of a key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Fleet is a running deployment.
type Fleet struct {
	Spec     Spec
	Recorder     *history.Recorder
	Links    *faultproxy.Links
	Platform *emulator.Platform
	Nodes    []*Node
	Models   []*emulator.Model
	Webs     []*emulator.Web
	Dir      string
	spawn    chan spawnAsk
	proxies   map[string]*faultproxy.Proxy
	base     int
	locations   map[string]Location
	stop     context.CancelFunc
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
func New(spec Spec, binary, dir string, book *history.Recorder, seed uint64) (*Fleet, error) {
	base, err := freeBase()
	if err != nil {
		return nil, err
	}
	f := &Fleet{Spec: spec, Recorder: book, Links: faultproxy.NewLinks(), Dir: dir, base: base,
		spawn: make(chan spawnAsk), proxies: map[string]*faultproxy.Proxy{}, locations: map[string]Location{}}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	go spawner(ctx, f.spawn)
	f.Platform = emulator.NewPlatform(f.ip(1, 1)+":7900", book)
	sources := map[string]string{}
	for i, n := range spec.Nodes {
		ip := f.ip(20, i+1)
		sources[ip] = n.Name
		f.locations[n.Name] = n.Location
		if n.Binary == "" {
			n.Binary = binary
		}
		node := &Node{NodeSpec: n, fleet: f, SourceIP: ip, CallerAddress: ip + ":7000", internal: ip + ":7001", advertised: f.ip(30, i+1) + ":7001",
			data: filepath.Join(dir, n.Name), state: owner.New(nodeState{})}
		f.proxies[n.Name] = faultproxy.New(n.Name, node.advertised, node.internal, f.Links)
		f.Nodes = append(f.Nodes, node)
	}
	for i, place := range spec.Models {
		name := fmt.Sprintf("model%d", i+1)
		m := emulator.NewModel(name, f.ip(50, i+1)+":8000", spec.Services.Model, spec.ModelSpec, book, seed+uint64(i))
		f.Models = append(f.Models, m)
		f.locations[name] = place
		f.proxies[name] = faultproxy.New(name, f.ip(40, i+1)+":8000", m.Address, f.Links)
	}
	for i, place := range spec.Webs {
		name := fmt.Sprintf("web%d", i+1)
		w := emulator.NewWeb(name, f.ip(51, i+1)+":8000", spec.Services.Web, book, seed+100+uint64(i))
		f.Webs = append(f.Webs, w)
		f.locations[name] = place
		f.proxies[name] = faultproxy.New(name, f.ip(41, i+1)+":8000", w.Address, f.Links)
	}
	f.Links.SetSources(sources)
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
		if f.Spec.ServersWarm {
			m.SkipWarmUp()
		}
	}
	for _, w := range f.Webs {
		if err := w.Start(); err != nil {
			return err
		}
		if f.Spec.ServersWarm {
			w.SkipWarmUp()
		}
	}
	for name, r := range f.proxies {
		if f.Node(name) != nil {
			continue
		}
		if err := r.Start(); err != nil {
			return err
		}
		f.PutServer(name, "ready")
	}
	for _, n := range f.Nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

// PutServer shows a server on the platform's list in a state.
func (f *Fleet) PutServer(name, state string) {
	kind, services := "model", f.Spec.Services.Model
	if strings.HasPrefix(name, "web") {
		kind, services = "web", f.Spec.Services.Web
	}
	place := f.locations[name]
	f.Platform.PutServer(emulator.ListedServer{Name: name, Address: f.proxies[name].Address, Kind: kind, Services: services,
		Region: place.Region, Zone: place.Zone, State: state})
}

// ServerAddress is where nodes reach a server: that of its relay.
func (f *Fleet) ServerAddress(server string) string { return f.proxies[server].Address }

// LocationOf tells where a node or server stands.
func (f *Fleet) LocationOf(name string) Location { return f.locations[name] }

// Model returns a model server by name, or nil.
func (f *Fleet) Model(name string) *emulator.Model {
	for _, m := range f.Models {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// NodesFrom returns all nodes, beginning with number i.
func (f *Fleet) NodesFrom(i int) []*Node {
	i %= len(f.Nodes)
	return append(slices.Clone(f.Nodes[i:]), f.Nodes[:i]...)
}

// Cores returns the nodes with a disk.
func (f *Fleet) Cores() []*Node {
	return slices.DeleteFunc(slices.Clone(f.Nodes), func(n *Node) bool { return !n.Core })
}

// Names returns the names of all nodes and servers that pass a filter.
func (f *Fleet) Names(keep func(name string, p Location) bool) []string {
	var out []string
	for name, place := range f.locations {
		if keep(name, place) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Web returns a web server by name, or nil.
func (f *Fleet) Web(name string) *emulator.Web {
	for _, w := range f.Webs {
		if w.Name == name {
			return w
		}
	}
	return nil
}

// CrashWebServer ends a web server and has its address refuse.
func (f *Fleet) CrashWebServer(name string) {
	f.Recorder.AddAction("crash "+name, false)
	f.proxies[name].Stop()
	f.Web(name).Crash()
}

// RestartWebServer brings a web server back.
func (f *Fleet) RestartWebServer(name string) error {
	f.Recorder.AddAction("return "+name, false)
	if err := f.Web(name).Start(); err != nil {
		return err
	}
	return f.proxies[name].Start()
}

// CrashModelServer ends a model server and has its address refuse.
func (f *Fleet) CrashModelServer(name string) {
	f.Recorder.AddAction("crash "+name, false)
	f.proxies[name].Stop()
	f.Model(name).Crash()
}

// RestartModelServer brings a model server back, cold.
func (f *Fleet) RestartModelServer(name string) error {
	f.Recorder.AddAction("cold return "+name, false)
	if err := f.Model(name).Start(); err != nil {
		return err
	}
	return f.proxies[name].Start()
}

// Close ends all that the fleet started.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		n.close()
	}
	for _, r := range f.proxies {
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
