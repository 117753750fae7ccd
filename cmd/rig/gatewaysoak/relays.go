package gatewaysoak

import (
	"fmt"

	"stepwick/cmd/rig/faultproxy"
	"stepwick/cmd/rig/owner"
	"stepwick/internal/settings"
)

// cutManner is what a process observes of a link that is cut.
type cutManner string

// The manners of cuts. A relay can't refuse the connections of one source only: refuse
// stops the relays of the machine, so that all its peers are refused, and resets what the
// machine itself sends.
const (
	cutSilent cutManner = "silent"
	cutReset  cutManner = "reset"
	cutRefuse cutManner = "refuse"
)

// cutDirection is the direction in which a machine's links are cut.
type cutDirection string

// The directions of cuts, as seen from the machine that is cut off.
const (
	cutBoth     cutDirection = "both"
	cutInbound  cutDirection = "inbound"
	cutOutbound cutDirection = "outbound"
)

// cut parts machines from others.
type cut struct {
	machines  []string
	others    []string
	manner    cutManner
	direction cutDirection
}

// modes adds the modes of the links that the cut affects.
func (c cut) modes(modes map[faultproxy.Link]faultproxy.Mode) {
	mode := faultproxy.Mode{Reset: true}
	if c.manner == cutSilent {
		mode = faultproxy.Mode{Blocked: true}
	}
	for _, machine := range c.machines {
		for _, other := range c.others {
			if c.direction != cutOutbound {
				modes[faultproxy.Link{From: other, To: machine}] = mode
			}
			if c.direction != cutInbound {
				modes[faultproxy.Link{From: machine, To: other}] = mode
			}
		}
	}
}

// refuses reports whether the cut stops the relays of its machines.
func (c cut) refuses() bool { return c.manner == cutRefuse && c.direction != cutOutbound }

// relayNetwork has a relay before the internal port of each process. Cuts may overlap.
type relayNetwork struct {
	links   *faultproxy.Links
	proxies map[string][]*faultproxy.Proxy // by machine
	state   *owner.Owner[relayState]
}

type relayState struct {
	cuts []activeCut // in the order in which they began
	next int
}

type activeCut struct {
	id int
	cut
}

// internalPorts are the ports of the roles on which processes reach each other; the first of
// them stands in the settings file.
var internalPorts = map[string]int{settings.RoleCore: 7500, settings.RoleFront: 7501}

// addRelays puts a relay before the internal port of each process, which then listens on a
// hidden address. The processes must not run yet.
func (f *testFleet) addRelays() error {
	f.relays = &relayNetwork{links: faultproxy.NewLinks(), proxies: map[string][]*faultproxy.Proxy{}, state: owner.New(relayState{})}
	machineByIP := map[string]string{}
	for i, machine := range f.machines {
		machineByIP[machine.IP] = machine.Name
		for _, process := range f.processesOf(machine.Name) {
			port := internalPorts[process.role]
			hidden := f.address(hiddenGroup, i+1, port)
			public := fmt.Sprintf("%s:%d", machine.IP, port)
			process.flags = []string{"--listen.internal", hidden, "--advertise.internal", public, "--bind", machine.IP}
			proxy := faultproxy.New(machine.Name, public, hidden, f.relays.links)
			if err := proxy.Start(); err != nil {
				return err
			}
			f.relays.proxies[machine.Name] = append(f.relays.proxies[machine.Name], proxy)
		}
	}
	f.relays.links.SetSources(machineByIP)
	return nil
}

// begin cuts links and returns the number by which the cut is ended.
func (n *relayNetwork) begin(added cut) (id int) {
	n.state.Do(func(state *relayState) {
		id = state.next
		state.next++
		state.cuts = append(state.cuts, activeCut{id, added})
		n.apply(state)
	})
	return id
}

// change replaces a cut by another one at once.
func (n *relayNetwork) change(id int, replacement cut) {
	n.state.Do(func(state *relayState) {
		for i := range state.cuts {
			if state.cuts[i].id == id {
				state.cuts[i].cut = replacement
			}
		}
		n.apply(state)
	})
}

// end heals a cut; links that another cut affects remain as that one has them.
func (n *relayNetwork) end(id int) {
	n.state.Do(func(state *relayState) {
		var remaining []activeCut
		for _, active := range state.cuts {
			if active.id != id {
				remaining = append(remaining, active)
			}
		}
		state.cuts = remaining
		n.apply(state)
	})
}

// apply runs on the goroutine that owns the state. A later cut of a link replaces an
// earlier one.
func (n *relayNetwork) apply(state *relayState) {
	modes := map[faultproxy.Link]faultproxy.Mode{}
	refusing := map[string]bool{}
	for _, active := range state.cuts {
		active.modes(modes)
		for _, machine := range active.machines {
			refusing[machine] = refusing[machine] || active.refuses()
		}
	}
	n.links.Replace(modes)
	for machine, proxies := range n.proxies {
		for _, proxy := range proxies {
			if refusing[machine] {
				proxy.Stop()
			} else {
				_ = proxy.Start() // fails only if another program has taken the port
			}
		}
	}
}

func (n *relayNetwork) close() {
	n.state.Close()
	for _, proxies := range n.proxies {
		for _, proxy := range proxies {
			proxy.Close()
		}
	}
}
