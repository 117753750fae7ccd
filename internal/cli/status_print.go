package cli

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxTenantsShown is the maximum number of tenants in the status; "stepwick tally"
// shows all.
const maxTenantsShown = 20

func (a *App) printStatus(report *statusReport) error {
	if report.Fleet != nil {
		if err := a.printFleet(report.Fleet, report.Node); err != nil {
			return err
		}
	} else if report.FleetError != nil {
		a.printf("no core answered: %s (%d): %s\n\n", report.FleetError.Name, report.FleetError.Code, report.FleetError.Detail)
	}
	if report.Node == nil {
		return nil
	}
	a.printNode(report.Node)
	if report.Fleet == nil {
		if err := a.printProcesses(report.Node.Processes); err != nil {
			return err
		}
	}
	if err := a.printServers(report.Node.Servers); err != nil {
		return err
	}
	if len(report.Tenants) == 0 {
		return nil
	}
	return a.printTopTenants(report.Tenants)
}

func (a *App) printTopTenants(tenants []tenantUsage) error {
	a.println()
	if err := a.printUsages(tenants[:min(len(tenants), maxTenantsShown)]); err != nil {
		return err
	}
	if more := len(tenants) - maxTenantsShown; more > 0 {
		a.printf("and %d more; see \"stepwick tally\"\n", more)
	}
	return nil
}

// printFleet prints the status of the fleet as a core reports it. Whether a member is
// ready is taken from node, which may be nil.
func (a *App) printFleet(fleet *fleetStatus, node *nodeStatus) error {
	a.printAgreement(fleet)
	a.println()
	if err := a.printCores(fleet.Cores); err != nil {
		return err
	}
	a.println()
	if err := a.printMembers(fleet.Members, node); err != nil {
		return err
	}
	a.println()
	return nil
}

// printAgreement prints the state that the cores have agreed on, and whether it is in
// force.
func (a *App) printAgreement(fleet *fleetStatus) {
	inForce := "in force"
	if !fleet.InForce {
		inForce = fmt.Sprintf("not known to be in force (%s)", fleet.Missing)
	}
	a.printf("epoch %d %s, confirmed by %d of %d; sheet epoch %d; reported by core %s\n",
		fleet.Version, inForce, fleet.Confirmed, fleet.Roster, fleet.SheetVersion, fleet.ReportedBy)
	rosterState := "committed"
	if !fleet.RosterCommitted {
		rosterState = "changing"
	}
	a.printf("roster of epoch %d: %d members, %s\n", fleet.RosterVersion, fleet.Roster, rosterState)
	for _, role := range slices.Sorted(maps.Keys(fleet.Roles)) {
		a.printf("role %s: %s, term %d\n", role, fleet.Roles[role].Holder, fleet.Roles[role].Term)
	}
	if plan := fleet.Plan; plan != nil {
		a.printf("plan %d of term %d by %s, for epoch %d; cause: %s\n", plan.Number, plan.Term, plan.Holder, plan.Version, plan.Cause)
	} else {
		a.println("plan: none yet")
	}
	for _, zone := range slices.Sorted(maps.Keys(fleet.Evacuated)) {
		a.printf("evacuated: %s, since epoch %d\n", zone, fleet.Evacuated[zone])
	}
}

func (a *App) printCores(cores []coreStatus) error {
	rows := a.newTable("CORE", "STANDING", "ANSWERS", "LEARNED", "LEASES")
	for _, core := range cores {
		rows.addRow(core.Name, core.Standing, yesOrNo(core.Answered), core.LearnedVersion, core.Leases)
	}
	return rows.print()
}

func (a *App) printMembers(members []memberStatus, node *nodeStatus) error {
	ready := make(map[string]string)
	if node != nil {
		for _, process := range node.Processes {
			ready[process.Name] = yesOrNo(process.Ready)
		}
	}
	rows := a.newTable("MEMBER", "LOCALITY", "ROLE", "LEASE", "CONFIRMED", "READY", "REFUSES")
	for _, member := range members {
		memberReady := ready[member.Name]
		if member.RefusesConnections {
			memberReady = yesOrNo(false)
		}
		rows.addRow(member.Name, member.Zone, member.role(), yesOrNo(member.HasLease), yesOrNo(member.Confirmed),
			memberReady, yesOrNo(member.RefusesConnections))
	}
	return rows.print()
}

func (a *App) printNode(node *nodeStatus) {
	authority := "has no authority"
	if node.HasAuthority {
		authority = "has authority by " + node.AuthoritySource
	}
	ready := "ready"
	if !node.Ready {
		ready = "not ready (" + node.Cause + ")"
	}
	a.printf("queried node %s in %s (%s): epoch %d, plan %d of term %d, %s, %s\n",
		node.Name, node.Zone, node.Role, node.Version, node.Plan, node.PlanTerm, authority, ready)
}

func (a *App) printProcesses(processes []processStatus) error {
	a.println()
	rows := a.newTable("PROCESS", "LOCALITY", "CORE", "STANDING", "READY", "CALLER ADDRESS")
	for _, process := range processes {
		rows.addRow(process.Name, process.Zone, yesOrNo(process.Core), process.Standing, yesOrNo(process.Ready), process.CallerAddress)
	}
	return rows.print()
}

// printServers prints the names of the servers, grouped by state.
func (a *App) printServers(servers map[string]string) error {
	namesByState := make(map[string][]string)
	for name, state := range servers {
		namesByState[state] = append(namesByState[state], name)
	}
	a.println()
	rows := a.newTable("SERVERS", "COUNT", "NAMES")
	for _, state := range slices.Sorted(maps.Keys(namesByState)) {
		names := namesByState[state]
		slices.Sort(names)
		rows.addRow(state, len(names), strings.Join(names, " "))
	}
	return rows.print()
}
