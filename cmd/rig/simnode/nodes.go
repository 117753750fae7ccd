package simnode

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"stepwick/cmd/rig/fleet"
	"stepwick/internal/events"
	"stepwick/internal/node"
	"stepwick/internal/settings"
)

// Third octets of the addresses 127.N.group.i of the processes; a full group
// continues in the next octet.
const (
	platformGroup = 89
	coreGroup     = 90
	frontGroup    = 100
	serverGroup   = 120
)

const (
	callerPort   = 7000
	internalPort = 7001
	serverPort   = 8000
)

// The numbers of zones and regions grow with the fronts in the proportions of the
// users' large site: 410 nodes in 65 zones of 22 regions.
const (
	siteNodes   = 410
	siteZones   = 65
	siteRegions = 22
	minZones    = 3
	minRegions  = 2
)

const (
	fleetSecret  = "a secret of the hollow fleet"
	operatorName = "ada"
	operatorKey  = "ada's key"
	maxSeeds     = 3
	dialTimeout  = 2 * time.Second

	dataDirMode = 0o700
	configMode  = 0o600
)

func (f *simFleet) zones() int   { return max(minZones, f.options.Fronts*siteZones/siteNodes) }
func (f *simFleet) regions() int { return max(minRegions, f.options.Fronts*siteRegions/siteNodes) }

func (f *simFleet) regionOf(i int) string { return fmt.Sprintf("r%02d", i%f.zones()%f.regions()) }
func (f *simFleet) zoneOf(i int) string   { return fmt.Sprintf("z%02d", i%f.zones()) }

func coreName(i int) string { return fmt.Sprintf("core%d", i) }

func (f *simFleet) coreSettings(i int) map[string]string {
	values := f.nodeSettings(coreName(i), coreGroup, i)
	values["data"] = filepath.Join(f.options.Dir, coreName(i))
	f.overrideSettings(values)
	return values
}

func (f *simFleet) frontSettings(i int) map[string]string {
	values := f.nodeSettings(fmt.Sprintf("front%03d", i), frontGroup, i)
	f.overrideSettings(values)
	return values
}

// nodeSettings returns the settings common to cores and fronts.
func (f *simFleet) nodeSettings(name string, group, i int) map[string]string {
	var seeds []string
	for core := range min(maxSeeds, f.options.Cores) {
		seeds = append(seeds, f.address(coreGroup, core, internalPort))
	}
	values := map[string]string{
		"name":            name,
		"region":          f.regionOf(i),
		"zone":            f.zoneOf(i),
		"listen.caller":   f.address(group, i, callerPort),
		"listen.internal": f.address(group, i, internalPort),
		"bind":            f.loopbackIP(group, i),
		"seeds":           strings.Join(seeds, ","),
		"core.voters":     fmt.Sprint(f.options.Cores),
		"fleet.secret":    fleetSecret,
		"operator.keys":   operatorName + ":" + fleet.HashKey(operatorKey),
		"log.level":       "warn",
	}
	if f.options.Servers > 0 {
		values["platform.url"] = "http://" + f.platformAddress() + "/servers"
	}
	return values
}

// overrideSettings replaces the values that Options.Settings sets.
func (f *simFleet) overrideSettings(values map[string]string) {
	for name, value := range f.options.Settings {
		values[name] = value
	}
}

// coreProcess is the process of a core.
type coreProcess struct{ command *exec.Cmd }

func (c *coreProcess) terminate() { _ = c.command.Process.Signal(syscall.SIGTERM) }

func (c *coreProcess) wait() { _ = c.command.Wait() }

func (f *simFleet) startCore(i int) error {
	text, err := yaml.Marshal(f.coreSettings(i))
	if err != nil {
		return err
	}
	path := filepath.Join(f.options.Dir, coreName(i))
	if err := os.MkdirAll(path, dataDirMode); err != nil {
		return err
	}
	if err := os.WriteFile(path+".yaml", text, configMode); err != nil {
		return err
	}
	log, err := os.Create(path + ".log")
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(f.options.Binary, "core", "--config", path+".yaml")
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", coreName(i))
	}
	f.cores = append(f.cores, &coreProcess{command})
	return nil
}

// startFront runs a front in this process until ctx ends.
func (f *simFleet) startFront(ctx context.Context, i int) error {
	text, err := yaml.Marshal(f.frontSettings(i))
	if err != nil {
		return err
	}
	values, problems := settings.Read("hollow", text, nil, node.RoleFront)
	if len(problems) > 0 {
		return errors.New(problems[0].String())
	}
	environment := f.environment(values.String("bind"))
	go func() {
		_ = node.RunIn(ctx, environment, node.RoleFront, values, events.Discard)
		f.frontEnded <- struct{}{}
	}()
	return nil
}

// environment returns a node environment that dials from sourceIP and counts the
// node's traffic.
func (f *simFleet) environment(sourceIP string) node.Environment {
	dialer := &net.Dialer{
		Timeout:   dialTimeout,
		LocalAddr: &net.TCPAddr{IP: net.ParseIP(sourceIP)},
	}
	serverSuffix := fmt.Sprintf(":%d", serverPort)
	return node.Environment{
		Clock: f.clock,
		Listen: func(address string) (net.Listener, error) {
			listener, err := net.Listen("tcp", address)
			return countedListener{listener, &f.nodeTraffic}, err
		},
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if strings.HasSuffix(address, serverSuffix) {
				return countedConn{conn, &f.healthCheckTraffic}, nil
			}
			return countedConn{conn, &f.nodeTraffic}, nil
		},
	}
}
