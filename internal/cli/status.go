package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/statemachine"

	"github.com/spf13/cobra"
)

// standingVoting is the standing of a core that votes in ballots.
const standingVoting = "voting"

// statusReport is the status of the fleet as one core reports it, and the status of
// the queried node. If no core answered, Fleet is nil and FleetError is the reason.
type statusReport struct {
	Fleet      *fleetStatus        `json:"fleet"`
	FleetError *apierror.ErrorBody `json:"fleet_fault"`
	Node       *nodeStatus         `json:"node"`
	// Tenants is the usage of the tenants that the queried node serves. It is the
	// result of a separate call.
	Tenants []tenantUsage `json:"-"`
}

// fleetStatus is the status of the fleet as one core reports it.
type fleetStatus struct {
	ReportedBy      string                           `json:"by"`
	Version         uint64                           `json:"epoch"`
	SheetVersion    uint64                           `json:"sheet_epoch"`
	InForce         bool                             `json:"in_force"`
	Missing         string                           `json:"waiting"`
	Confirmed       int                              `json:"confirmed"`
	Roster          int                              `json:"roster"`
	RosterVersion   uint64                           `json:"roster_epoch"`
	RosterCommitted bool                             `json:"roster_settled"`
	Evacuated       map[string]uint64                `json:"evacuated"`
	Cores           []coreStatus                     `json:"cores"`
	Members         []memberStatus                   `json:"members"`
	Roles           map[string]statemachine.RoleTerm `json:"duties"`
	Plan            *planStatus                      `json:"plan"`
}

type coreStatus struct {
	Name           string `json:"name"`
	Standing       string `json:"standing"`
	Answered       bool   `json:"answered"`
	LearnedVersion uint64 `json:"learned"`
	Leases         int    `json:"leases"`
}

// isVoting reports whether the core answered, votes and has learned all versions up
// to version.
func (c coreStatus) isVoting(version uint64) bool {
	return c.Answered && c.Standing == standingVoting && c.LearnedVersion >= version
}

type planStatus struct {
	Term    uint64 `json:"term"`
	Number  uint64 `json:"number"`
	Version uint64 `json:"epoch"`
	Holder  string `json:"holder"`
	Cause   string `json:"cause"`
}

type memberStatus struct {
	Name               string `json:"name"`
	Zone               string `json:"locality"`
	Core               bool   `json:"core"`
	Front              bool   `json:"front"`
	Confirmed          bool   `json:"confirmed"`
	HasLease           bool   `json:"granted"`
	RefusesConnections bool   `json:"gone"`
}

// role returns the role of the member as it is printed.
func (m memberStatus) role() string {
	switch {
	case m.Core && m.Front:
		return "core+front"
	case m.Core:
		return "core"
	}
	return "front"
}

// nodeStatus is the status of the queried node and its view of its peers.
type nodeStatus struct {
	Name            string            `json:"name"`
	Zone            string            `json:"locality"`
	Role            string            `json:"role"`
	Version         uint64            `json:"epoch"`
	Ready           bool              `json:"ready"`
	Cause           string            `json:"cause"` // why the node is not ready
	HasAuthority    bool              `json:"ruling"`
	AuthoritySource string            `json:"by"` // "lease" or "roster"
	Plan            uint64            `json:"plan"`
	PlanTerm        uint64            `json:"plan_term"`
	Servers         map[string]string `json:"servers"` // the state of each server
	Processes       []processStatus   `json:"processes"`
}

type processStatus struct {
	Name          string `json:"name"`
	Zone          string `json:"locality"`
	CallerAddress string `json:"caller"`
	Core          bool   `json:"core"`
	Standing      string `json:"standing"`
	Ready         bool   `json:"ready"`
}

func (a *App) statusCommand() *cobra.Command {
	client := &fleetClient{app: a}
	var format string
	var wait time.Duration
	command := &cobra.Command{
		Use:   "status",
		Short: "Show nodes, epochs, leases, roster, servers, plan, evacuations and tenants",
		Long: `Show the status of the fleet as reported by one core (cores, roster, leases, epochs,
roles, evacuations, plan) and by the queried node (processes, servers, authority to
serve requests, usage of the tenants that it serves). The status is not confirmed
by a majority of the cores; "sheet get" is.

With --wait, the command polls until the newest epoch is in force, there is a plan,
every core votes, and every member of the roster has a lease and is ready. If the
time runs out first, it prints the last status and exits with code 4 (try again
later).`,
		Example:           "  stepwick status\n  stepwick status --wait 30s\n  stepwick status --node 10.0.0.2:8080 -o json",
		Args:              cobra.NoArgs,
		ValidArgsFunction: completeNothing,
		RunE: func(command *cobra.Command, _ []string) error {
			return a.showStatus(command.Context(), client, format, wait)
		},
	}
	client.register(command.Flags())
	command.Flags().DurationVar(&wait, "wait", 0, "how long to wait for the whole fleet to be ready")
	addOutputFlag(command, &format, formatTable, formatTable, formatJSON)
	return command
}

// showStatus prints the status once the fleet is ready or wait has passed. In the
// latter case it returns an error with the code NotRuling.
func (a *App) showStatus(ctx context.Context, client *fleetClient, format string, wait time.Duration) error {
	report, body, err := a.waitForReadiness(ctx, client, wait)
	if err != nil {
		return err
	}
	tenants, err := client.get(ctx, tallyPath(""), &report.Tenants)
	if err != nil {
		tenants = nil // optional: the status is printed without the tenants
	}
	if format == formatJSON {
		err = a.printStatusJSON(body, tenants)
	} else {
		err = a.printStatus(report)
	}
	if err != nil {
		return err
	}
	if notReady := report.notReadyReason(); wait > 0 && notReady != "" {
		return apierror.Errorf(apierror.NoAuthority, "the fleet is not ready after %s: %s", wait, notReady)
	}
	return nil
}

// waitForReadiness polls the status until the fleet is ready or wait has passed. It
// returns the last report and its JSON body.
func (a *App) waitForReadiness(ctx context.Context, client *fleetClient, wait time.Duration) (*statusReport, []byte, error) {
	deadline := a.Clock.Now().Add(wait)
	for {
		report := &statusReport{}
		body, err := client.get(ctx, controlPath+"status", report)
		isReady := err == nil && report.notReadyReason() == ""
		if wait <= 0 || isReady || !a.Clock.Now().Before(deadline) {
			return report, body, err
		}
		select {
		case <-a.Clock.After(retryInterval):
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// notReadyReason returns why the fleet is not ready, or "" if it is ready.
func (s *statusReport) notReadyReason() string {
	switch {
	case s.Fleet == nil || s.Node == nil:
		return "no core answered"
	case !s.Fleet.InForce:
		return fmt.Sprintf("epoch %d is not in force: %s", s.Fleet.Version, s.Fleet.Missing)
	case s.Fleet.Plan == nil:
		return "there is no plan yet"
	case !s.Fleet.RosterCommitted || len(s.Fleet.Members) == 0:
		return "the roster is changing"
	}
	for _, core := range s.Fleet.Cores {
		if !core.isVoting(s.Fleet.Version) {
			return fmt.Sprintf("core %s is %s at epoch %d, expected %s at epoch %d", core.Name, core.Standing, core.LearnedVersion, standingVoting, s.Fleet.Version)
		}
	}
	return s.memberNotReady()
}

// memberNotReady returns a description of a member that is not ready, or of a ready
// process that is not a member yet. It returns "" if there is neither.
func (s *statusReport) memberNotReady() string {
	ready := make(map[string]bool)
	for _, process := range s.Node.Processes {
		ready[process.Name] = process.Ready
	}
	for _, member := range s.Fleet.Members {
		if member.RefusesConnections {
			return member.Name + " refuses connections"
		}
		if !member.HasLease || member.Front && !ready[member.Name] {
			return member.Name + " is not ready"
		}
	}
	for _, process := range s.Node.Processes {
		if process.Ready && !s.Fleet.hasMember(process.Name) {
			return process.Name + " is not on the roster yet"
		}
	}
	return ""
}

func (f *fleetStatus) hasMember(name string) bool {
	return slices.ContainsFunc(f.Members, func(member memberStatus) bool { return member.Name == name })
}

// zones returns the zones of all processes and members, unsorted and with
// duplicates.
func (s *statusReport) zones() []string {
	var zones []string
	for _, process := range s.Node.Processes {
		zones = append(zones, process.Zone)
	}
	if s.Fleet != nil {
		for _, member := range s.Fleet.Members {
			zones = append(zones, member.Zone)
		}
	}
	return zones
}

// printStatusJSON prints the status as received from the node, with the tenants
// added.
func (a *App) printStatusJSON(body, tenants []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return apierror.Errorf(apierror.BadResponse, "decode status: %v", err)
	}
	if len(tenants) > 0 {
		fields["tenants"] = tenants
	}
	return a.printJSON(fields)
}
