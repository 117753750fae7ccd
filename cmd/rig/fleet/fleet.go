// Package fleet runs a whole deployment on one machine: nodes as real processes,
// an emulated platform and emulated servers, and a fault proxy in front of each
// node and server. All addresses are on a loopback range of the fleet's own.
package fleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/emulator"
	"stepwick/cmd/rig/faultproxy"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/owner"
)

// Third number of the addresses 127.N.group.i of the processes.
const (
	platformGroup    = 1
	nodeGroup        = 20
	nodeProxyGroup   = 30
	modelProxyGroup  = 40
	webProxyGroup    = 41
	modelServerGroup = 50
	webServerGroup   = 51
)

// Ports of the processes.
const (
	callerPort   = ":7000"
	internalPort = ":7001"
	platformPort = ":7900"
	serverPort   = ":8000"
)

// Second numbers of addresses: a fleet tries some, from one that depends on its
// process ID, until one is free.
const (
	firstLoopback     = 10
	loopbackRanges    = 200
	loopbackStep      = 37
	maxLoopbackTrials = 60
)

// webSeedOffset keeps the seeds of web servers apart from those of model servers.
const webSeedOffset = 100

// Fleet is a running deployment.
type Fleet struct {
	Spec     Spec
	Recorder *history.Recorder
	Links    *faultproxy.Links
	Platform *emulator.Platform
	Nodes    []*Node
	Models   []*emulator.ModelServer
	Webs     []*emulator.WebServer
	Dir      string // of the nodes' settings, data and logs

	loopback  int                          // second number of all addresses
	proxies   map[string]*faultproxy.Proxy // by name of the node or server
	locations map[string]Location          // by name of the node or server
	spawn     chan spawnRequest
	stopSpawn context.CancelFunc
}

// Build compiles the program into a folder and returns its path.
func Build(dir string) (string, error) {
	binary := filepath.Join(dir, "stepwick")
	out, err := exec.Command("go", "build", "-o", binary, "./cmd/stepwick").CombinedOutput()
	return binary, errors.Wrapf(err, "build stepwick: %s", out)
}

// New prepares a deployment without starting it. The binary is that of Build, the
// folder is the caller's to remove.
func New(spec Spec, binary, dir string, recorder *history.Recorder, seed uint64) (*Fleet, error) {
	loopback, err := freeLoopback()
	if err != nil {
		return nil, err
	}
	ctx, stopSpawn := context.WithCancel(context.Background())
	fleet := &Fleet{
		Spec:      spec,
		Recorder:  recorder,
		Links:     faultproxy.NewLinks(),
		Dir:       dir,
		loopback:  loopback,
		proxies:   map[string]*faultproxy.Proxy{},
		locations: map[string]Location{},
		spawn:     make(chan spawnRequest),
		stopSpawn: stopSpawn,
	}
	go runSpawner(ctx, fleet.spawn)
	fleet.Platform = emulator.NewPlatform(fleet.ip(platformGroup, 1)+platformPort, recorder)
	fleet.addNodes(binary)
	fleet.addModelServers(seed)
	fleet.addWebServers(seed)
	return fleet, nil
}

// freeLoopback returns the second number of a loopback range that no other fleet
// uses.
func freeLoopback() (int, error) {
	for i := range maxLoopbackTrials {
		number := firstLoopback + (os.Getpid()+i*loopbackStep)%loopbackRanges
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.1.1%s", number, platformPort))
		if err == nil {
			_ = listener.Close()
			return number, nil
		}
	}
	return 0, errors.New("no free loopback range")
}

func (f *Fleet) ip(group, i int) string { return fmt.Sprintf("127.%d.%d.%d", f.loopback, group, i) }

func (f *Fleet) addNodes(binary string) {
	sources := map[string]string{}
	for i, spec := range f.Spec.Nodes {
		sourceIP := f.ip(nodeGroup, i+1)
		sources[sourceIP] = spec.Name
		if spec.Binary == "" {
			spec.Binary = binary
		}
		node := &Node{
			NodeSpec:      spec,
			SourceIP:      sourceIP,
			CallerAddress: sourceIP + callerPort,
			internal:      sourceIP + internalPort,
			advertised:    f.ip(nodeProxyGroup, i+1) + internalPort,
			dataDir:       filepath.Join(f.Dir, spec.Name),
			fleet:         f,
			state:         owner.New(nodeState{}),
		}
		f.Nodes = append(f.Nodes, node)
		f.addProxy(spec.Name, spec.Location, node.advertised, node.internal)
	}
	f.Links.SetSources(sources)
}

func (f *Fleet) addModelServers(seed uint64) {
	for i, location := range f.Spec.Models {
		name := fmt.Sprintf("model%d", i+1)
		address := f.ip(modelServerGroup, i+1) + serverPort
		server := emulator.NewModelServer(name, address, f.Spec.Services.Model, f.Spec.ModelSpec, f.Recorder, seed+uint64(i))
		f.Models = append(f.Models, server)
		f.addProxy(name, location, f.ip(modelProxyGroup, i+1)+serverPort, address)
	}
}

func (f *Fleet) addWebServers(seed uint64) {
	for i, location := range f.Spec.Webs {
		name := fmt.Sprintf("web%d", i+1)
		address := f.ip(webServerGroup, i+1) + serverPort
		server := emulator.NewWebServer(name, address, f.Spec.Services.Web, f.Recorder, seed+webSeedOffset+uint64(i))
		f.Webs = append(f.Webs, server)
		f.addProxy(name, location, f.ip(webProxyGroup, i+1)+serverPort, address)
	}
}

func (f *Fleet) addProxy(name string, location Location, address, target string) {
	f.locations[name] = location
	f.proxies[name] = faultproxy.New(name, address, target, f.Links)
}

// Start brings up the platform, the servers and then the nodes.
func (f *Fleet) Start() error {
	if err := f.Platform.Start(); err != nil {
		return err
	}
	if err := f.startServers(); err != nil {
		return err
	}
	for name, proxy := range f.proxies {
		if f.Node(name) != nil {
			continue
		}
		if err := proxy.Start(); err != nil {
			return err
		}
		f.PutServer(name, "ready")
	}
	for _, node := range f.Nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Node returns a node by name, or nil.
func (f *Fleet) Node(name string) *Node {
	for _, node := range f.Nodes {
		if node.Name == name {
			return node
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

// LocationOf returns the location of a node or server.
func (f *Fleet) LocationOf(name string) Location { return f.locations[name] }

// Names returns the sorted names of all nodes and servers that pass a filter.
func (f *Fleet) Names(keep func(name string, location Location) bool) []string {
	var names []string
	for name, location := range f.locations {
		if keep(name, location) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Close ends all that the fleet started.
func (f *Fleet) Close() {
	for _, node := range f.Nodes {
		node.close()
	}
	for _, proxy := range f.proxies {
		proxy.Close()
	}
	for _, server := range f.Models {
		server.Close()
	}
	for _, server := range f.Webs {
		server.Close()
	}
	f.Platform.Close()
	f.stopSpawn()
}
