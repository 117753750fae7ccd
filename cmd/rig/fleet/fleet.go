// Package fleet runs a complete deployment on one machine: nodes as real processes,
// an emulated platform and emulated servers, and a fault proxy in front of each
// node and server. Each fleet uses its own loopback range, 127.N.0.0/16.
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
	"stepwick/cmd/rig/spawn"
)

// Third octet of the addresses 127.N.group.i of the processes.
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

// A fleet looks for a free second octet of its addresses, starting at one derived
// from the process ID of the rig, so that rigs running at the same time rarely
// compete for a range.
const (
	firstLoopbackOctet  = 10
	loopbackOctets      = 200
	loopbackOctetStep   = 37
	maxLoopbackAttempts = 60
)

// webSeedOffset keeps the seeds of web servers apart from those of model servers.
const webSeedOffset = 100

// Fleet is a running deployment.
type Fleet struct {
	Spec         Spec
	Recorder     *history.Recorder
	Links        *faultproxy.Links
	Platform     *emulator.Platform
	Nodes        []*Node
	ModelServers []*emulator.ModelServer
	WebServers   []*emulator.WebServer
	Dir          string // directory of the nodes' settings, data and logs

	loopbackOctet int                          // second octet of all addresses
	proxies       map[string]*faultproxy.Proxy // by node or server name
	locations     map[string]Location          // by node or server name
	spawner       *spawn.Spawner
	stopSpawner   context.CancelFunc
}

// Build compiles cmd/stepwick into a directory and returns the path of the binary.
func Build(dir string) (string, error) {
	binary := filepath.Join(dir, "stepwick")
	out, err := exec.Command("go", "build", "-o", binary, "./cmd/stepwick").CombinedOutput()
	return binary, errors.Wrapf(err, "build stepwick: %s", out)
}

// New prepares a deployment without starting it. Nodes run the given binary unless
// their NodeSpec names another. The caller removes dir after Close.
func New(spec Spec, binary, dir string, recorder *history.Recorder, seed uint64) (*Fleet, error) {
	loopback, err := freeLoopbackOctet()
	if err != nil {
		return nil, err
	}
	ctx, stopSpawn := context.WithCancel(context.Background())
	fleet := &Fleet{
		Spec:          spec,
		Recorder:      recorder,
		Links:         faultproxy.NewLinks(),
		Dir:           dir,
		loopbackOctet: loopback,
		proxies:       map[string]*faultproxy.Proxy{},
		locations:     map[string]Location{},
		spawner:       spawn.New(ctx),
		stopSpawner:   stopSpawn,
	}
	fleet.Platform = emulator.NewPlatform(fleet.loopbackIP(platformGroup, 1)+platformPort, recorder)
	fleet.addNodes(binary)
	fleet.addModelServers(seed)
	fleet.addWebServers(seed)
	return fleet, nil
}

// freeLoopbackOctet returns the second octet of a loopback range that no other fleet
// uses.
func freeLoopbackOctet() (int, error) {
	for i := range maxLoopbackAttempts {
		number := firstLoopbackOctet + (os.Getpid()+i*loopbackOctetStep)%loopbackOctets
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.1.1%s", number, platformPort))
		if err == nil {
			_ = listener.Close()
			return number, nil
		}
	}
	return 0, errors.Errorf("no free loopback range after %d attempts on port %s", maxLoopbackAttempts, platformPort)
}

func (f *Fleet) loopbackIP(group, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.loopbackOctet, group, i)
}

func (f *Fleet) addNodes(binary string) {
	sources := map[string]string{}
	for i, spec := range f.Spec.Nodes {
		sourceIP := f.loopbackIP(nodeGroup, i+1)
		sources[sourceIP] = spec.Name
		if spec.Binary == "" {
			spec.Binary = binary
		}
		node := &Node{
			NodeSpec:          spec,
			SourceIP:          sourceIP,
			CallerAddress:     sourceIP + callerPort,
			internalAddress:   sourceIP + internalPort,
			advertisedAddress: f.loopbackIP(nodeProxyGroup, i+1) + internalPort,
			dataDir:           filepath.Join(f.Dir, spec.Name),
			fleet:             f,
			state:             owner.New(nodeState{}),
		}
		f.Nodes = append(f.Nodes, node)
		f.addProxy(spec.Name, spec.Location, node.advertisedAddress, node.internalAddress)
	}
	f.Links.SetSources(sources)
}

func (f *Fleet) addModelServers(seed uint64) {
	for i, location := range f.Spec.ModelLocations {
		name := fmt.Sprintf("model%d", i+1)
		address := f.loopbackIP(modelServerGroup, i+1) + serverPort
		server := emulator.NewModelServer(name, address, f.Spec.Services.Model, f.Spec.ModelSpec, f.Recorder, seed+uint64(i))
		f.ModelServers = append(f.ModelServers, server)
		f.addProxy(name, location, f.loopbackIP(modelProxyGroup, i+1)+serverPort, address)
	}
}

func (f *Fleet) addWebServers(seed uint64) {
	for i, location := range f.Spec.WebLocations {
		name := fmt.Sprintf("web%d", i+1)
		address := f.loopbackIP(webServerGroup, i+1) + serverPort
		server := emulator.NewWebServer(name, address, f.Spec.Services.Web, f.Recorder, seed+webSeedOffset+uint64(i))
		f.WebServers = append(f.WebServers, server)
		f.addProxy(name, location, f.loopbackIP(webProxyGroup, i+1)+serverPort, address)
	}
}

func (f *Fleet) addProxy(name string, location Location, address, target string) {
	f.locations[name] = location
	f.proxies[name] = faultproxy.New(name, address, target, f.Links)
}

// Start starts the platform, the servers and then the nodes.
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

// Node returns the node with the given name, or nil.
func (f *Fleet) Node(name string) *Node {
	for _, node := range f.Nodes {
		if node.Name == name {
			return node
		}
	}
	return nil
}

// NodesStartingAt returns all nodes in order, starting at index i modulo their number.
func (f *Fleet) NodesStartingAt(i int) []*Node {
	i %= len(f.Nodes)
	return append(slices.Clone(f.Nodes[i:]), f.Nodes[:i]...)
}

// Cores returns the core nodes, which store data on disk.
func (f *Fleet) Cores() []*Node {
	return slices.DeleteFunc(slices.Clone(f.Nodes), func(n *Node) bool { return !n.Core })
}

// LocationOf returns the location of a node or server, or the zero Location for an
// unknown name.
func (f *Fleet) LocationOf(name string) Location { return f.locations[name] }

// NamesWhere returns the sorted names of the nodes and servers for which keep returns
// true.
func (f *Fleet) NamesWhere(keep func(name string, location Location) bool) []string {
	var names []string
	for name, location := range f.locations {
		if keep(name, location) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Close ends all processes, proxies and servers of the fleet.
func (f *Fleet) Close() {
	for _, node := range f.Nodes {
		node.close()
	}
	for _, proxy := range f.proxies {
		proxy.Close()
	}
	for _, server := range f.ModelServers {
		server.Close()
	}
	for _, server := range f.WebServers {
		server.Close()
	}
	f.Platform.Close()
	f.stopSpawner()
}
