package gatewaysoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/owner"
	"stepwick/cmd/rig/spawn"
	"stepwick/internal/clock"
	"stepwick/internal/settings"
	"stepwick/platform/standin"
)

// Addresses of a fleet: 127.OCTET.GROUP.NUMBER.
const (
	firstOctet       = 20
	octets           = 200
	octetStep        = 37
	maxOctetAttempts = 20

	listGroup    = 1
	machineGroup = 2
	serverGroup  = 3
	// hiddenGroup has the addresses on which processes behind relays listen for each other.
	hiddenGroup = 4
	listPort    = 8361
	serverPort  = 8080
	serverSlots = 400
)

// coreCount is the number of machines with a core.
const coreCount = 3

var zones = []string{"north-a", "south-a", "north-b"}

var regions = map[string]string{"north-a": "north", "south-a": "south", "north-b": "north"}

// testFleet is the processes and the stand-ins of a soak.
type testFleet struct {
	clock     clock.Clock
	random    *rand.Rand
	recorder  *standin.Recorder
	folder    string
	keep      bool
	octet     int
	machines  []standin.Machine
	processes map[string]*process // by name
	list      *standin.Platform
	servers   []*standin.Server
	entries   *owner.Owner[[]standin.Entry]
	relays    *relayNetwork // nil if processes reach each other directly
}

func newTestFleet(ctx context.Context, options Options, recorder *standin.Recorder) (*testFleet, error) {
	f := &testFleet{
		clock:     clock.System(),
		random:    rand.New(rand.NewPCG(options.Seed, scheduleSeedWord+1)),
		recorder:  recorder,
		keep:      options.KeepDir != "",
		folder:    options.KeepDir,
		processes: map[string]*process{},
	}
	if err := f.createFolder(); err != nil {
		return nil, err
	}
	if err := f.startList(); err != nil {
		return nil, err
	}
	if err := f.startServers(options.Servers); err != nil {
		return nil, err
	}
	f.addMachines(ctx, options)
	return f, nil
}

func (f *testFleet) createFolder() error {
	if f.keep {
		return errors.WithStack(os.MkdirAll(f.folder, folderMode))
	}
	folder, err := os.MkdirTemp("", "stepwick-gateway-")
	f.folder = folder
	return errors.WithStack(err)
}

// startList starts the server list in a loopback range that no other fleet uses.
func (f *testFleet) startList() error {
	var err error
	for i := range maxOctetAttempts {
		f.octet = firstOctet + (os.Getpid()+i*octetStep)%octets
		if f.list, err = standin.NewPlatform(listen, f.address(listGroup, 1, listPort)); err == nil {
			return nil
		}
	}
	return errors.Wrap(err, "no free loopback range")
}

func listen(address string) (net.Listener, error) { return net.Listen("tcp4", address) }

func (f *testFleet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

func (f *testFleet) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.octet, group, number)
}

func (f *testFleet) address(group, number, port int) string {
	return fmt.Sprintf("%s:%d", f.ip(group, number), port)
}

func (f *testFleet) startServers(count int) error {
	var entries []standin.Entry
	for i := range count {
		entry := standin.Entry{
			ID:      fmt.Sprintf("i-%d", i+1),
			Service: "pool",
			Address: f.address(serverGroup, i+1, serverPort),
			Zone:    zones[i%len(zones)],
			Version: "v1",
			Slots:   serverSlots,
			State:   standin.StateReady,
			Stage:   "both",
		}
		server, err := standin.StartServer(listen, entry, f.clock, f.recorder)
		if err != nil {
			return err
		}
		f.servers = append(f.servers, server)
		entries = append(entries, entry)
	}
	f.list.SetEntries(entries)
	f.entries = owner.New(entries)
	return nil
}

// setDraining changes the state of a server on the list.
func (f *testFleet) setDraining(id string, draining bool) {
	f.entries.Do(func(entries *[]standin.Entry) {
		changed := append([]standin.Entry(nil), *entries...)
		for i := range changed {
			if changed[i].ID == id {
				changed[i].State = standin.StateReady
				if draining {
					changed[i].State = standin.StateDraining
				}
			}
		}
		*entries = changed
		f.list.SetEntries(changed)
	})
}

func (f *testFleet) addMachines(ctx context.Context, options Options) {
	spawner := spawn.New(ctx)
	var seeds []string
	for i := range coreCount {
		seeds = append(seeds, f.ip(machineGroup, i+1))
	}
	for i := range options.Machines {
		zone := zones[i%len(zones)]
		machine := standin.Machine{
			Name:     fmt.Sprintf("edge-%s-%d", zone, i+1),
			IP:       f.ip(machineGroup, i+1),
			Zone:     zone,
			Region:   regions[zone],
			HasCore:  i < coreCount,
			Seeds:    seeds,
			Platform: f.address(listGroup, 1, listPort),
			GraceS:   int(grace.Seconds()),
		}
		machine.DataDir = filepath.Join(f.folder, machine.Name)
		f.machines = append(f.machines, machine)
		f.addProcess(spawner, options, machine, settings.RoleFront)
		if machine.HasCore {
			f.addProcess(spawner, options, machine, settings.RoleCore)
		}
	}
}

func (f *testFleet) addProcess(spawner *spawn.Spawner, options Options, machine standin.Machine, role string) {
	name := machine.Name + "." + role
	f.processes[name] = &process{
		name:     name,
		role:     role,
		machine:  machine,
		binary:   options.Binary,
		older:    options.OlderBinary,
		folder:   f.folder,
		spawner:  spawner,
		clock:    f.clock,
		recorder: f.recorder,
		state:    owner.New(processState{}),
	}
}

// processesOf returns the processes of a machine.
func (f *testFleet) processesOf(machine string) []*process {
	var processes []*process
	for _, role := range []string{settings.RoleCore, settings.RoleFront} {
		if target, exists := f.processes[machine+"."+role]; exists {
			processes = append(processes, target)
		}
	}
	return processes
}

func (f *testFleet) start() error {
	for _, process := range f.processes {
		if err := process.start(); err != nil {
			return err
		}
	}
	return nil
}

func (f *testFleet) controls() []standin.Front {
	var controls []standin.Front
	for _, machine := range f.machines {
		if machine.HasCore {
			controls = append(controls, machine.Control())
		}
	}
	return controls
}

func (f *testFleet) targets() targets {
	var names targets
	for _, machine := range f.machines {
		names.fronts = append(names.fronts, machine.Name+"."+settings.RoleFront)
		if machine.HasCore {
			names.cores = append(names.cores, machine.Name+"."+settings.RoleCore)
		}
	}
	f.entries.Do(func(entries *[]standin.Entry) {
		for _, entry := range *entries {
			names.servers = append(names.servers, entry.ID)
		}
	})
	return names
}

// close ends the processes and the stand-ins.
func (f *testFleet) close() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, process := range f.processes {
		_ = process.awaitExit(ended, 0) // kills the process
		process.state.Close()
	}
	for _, server := range f.servers {
		server.Close()
	}
	if f.relays != nil {
		f.relays.close()
	}
	f.list.Close()
	f.entries.Close()
	if !f.keep {
		_ = os.RemoveAll(f.folder)
	}
}
