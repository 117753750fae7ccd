package cli

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/statemachine"
)

// status is the fleet as a core sees it, and the asked node as it sees itself.
// Fleet is nil where no core answered; Fault then says why.
type status struct {
	Fleet *fleetStatus        `json:"fleet"`
	Fault *apierror.ErrorBody `json:"fleet_fault"`
	Node  *nodeStatus         `json:"node"`
	// Tenants are those that the asked node serves.
	Tenants []tenantView `json:"-"`
}

const tenantsShown = 20

type fleetStatus struct {
	By            string            `json:"by"`
	Version       uint64            `json:"epoch"`
	SheetVersion  uint64            `json:"sheet_epoch"`
	InForce       bool              `json:"in_force"`
	Waiting       string            `json:"waiting"`
	Confirmed     int               `json:"confirmed"`
	Roster        int               `json:"roster"`
	RosterVersion uint64            `json:"roster_epoch"`
	RosterSettled bool              `json:"roster_settled"`
	Evacuated     map[string]uint64 `json:"evacuated"`
	Cores         []struct {
		Name     string `json:"name"`
		Standing string `json:"standing"`
		Answered bool   `json:"answered"`
		Learned  uint64 `json:"learned"`
		Settled  bool   `json:"settled"`
		Leases   int    `json:"leases"`
	} `json:"cores"`
	Members []member                         `json:"members"`
	Duties  map[string]statemachine.RoleTerm `json:"duties"`
	Plan    *struct {
		Term    uint64 `json:"term"`
		Number  uint64 `json:"number"`
		Version uint64 `json:"epoch"`
		Holder  string `json:"holder"`
		Cause   string `json:"cause"`
		AtMS    int64  `json:"at_ms"`
	} `json:"plan"`
}

type member struct {
	Name      string `json:"name"`
	Zone      string `json:"locality"`
	Core      bool   `json:"core"`
	Front     bool   `json:"front"`
	Confirmed bool   `json:"confirmed"`
	Granted   bool   `json:"granted"`
	Gone      bool   `json:"gone"`
}

type nodeStatus struct {
	Name        string            `json:"name"`
	Zone        string            `json:"locality"`
	Role        string            `json:"role"`
	Version     uint64            `json:"epoch"`
	Ready       bool              `json:"ready"`
	Cause       string            `json:"cause"`
	Ruling      bool              `json:"ruling"`
	By          string            `json:"by"`
	Plan        uint64            `json:"plan"`
	PlanTerm    uint64            `json:"plan_term"`
	FleetTimeMS int64             `json:"fleet_time_ms"`
	Servers     map[string]string `json:"servers"`
	Processes   []struct {
		Name     string `json:"name"`
		Zone     string `json:"locality"`
		Address  string `json:"address"`
		Caller   string `json:"caller"`
		Core     bool   `json:"core"`
		Standing string `json:"standing"`
		Ready    bool   `json:"ready"`
	} `json:"processes"`
}

func (a *App) status() *cobra.Command {
	l := &link{app: a}
	var format string
	var wait time.Duration
	command := &cobra.Command{
		Use:   "status",
		Short: "Show nodes, epochs, leases, roster, servers, plan, evacuations and tenants",
		Long: `Show the fleet as one core sees it (cores, roster, leases, epochs, duties,
evacuations, plan) and as the asked node sees it (processes, servers, whether it
rules, the spend of the tenants that it serves). It is no read-back: use "sheet
get" for that.

With --wait it asks again until the newest epoch is in force, there is a plan,
every core votes, and every member of the roster has its lease and is ready. If
that isn't so by then, it prints what it saw and ends with the exit code for "try
later".`,
		Example: "  stepwick status\n  stepwick status --wait 30s\n  stepwick status --node 10.0.0.2:8080 -o json",
		Args:    cobra.NoArgs, ValidArgsFunction: noArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			until := a.Clock.Now().Add(wait)
			for {
				var s status
				body, err := l.get(command.Context(), controlPath+"status", &s)
				lacks := "no node answers"
				if err == nil {
					lacks = s.lacks()
				}
				if wait > 0 && lacks != "" && a.Clock.Now().Before(until) {
					select {
					case <-a.Clock.After(resendAfter):
						continue
					case <-command.Context().Done():
						return command.Context().Err()
					}
				}
				if err != nil {
					return err
				}
				tenants, fault := l.get(command.Context(), controlPath+"tally", &s.Tenants)
				if fault != nil {
					tenants = nil
				}
				if format == "json" {
					err = a.printStatusJSON(body, tenants)
				} else {
					err = a.printStatus(&s)
				}
				if err == nil && wait > 0 && lacks != "" {
					return apierror.Errorf(apierror.NotRuling, "after %s: %s", wait, lacks)
				}
				return err
			}
		},
	}
	l.register(command.Flags())
	command.Flags().DurationVar(&wait, "wait", 0, "wait so long for all of the fleet to be ready")
	output(command, &format, "table", "table", "json")
	return command
}

// lacks says what keeps the fleet from being whole; "" when nothing does.
func (s *status) lacks() string {
	switch {
	case s.Fleet == nil || s.Node == nil:
		return "no core answers"
	case !s.Fleet.InForce:
		return fmt.Sprintf("epoch %d is not in force: %s", s.Fleet.Version, s.Fleet.Waiting)
	case s.Fleet.Plan == nil:
		return "there is no plan yet"
	case !s.Fleet.RosterSettled || len(s.Fleet.Members) == 0:
		return "the roster is changing"
	}
	for _, c := range s.Fleet.Cores {
		if !c.Answered || c.Standing != "voting" || c.Learned < s.Fleet.Version {
			return fmt.Sprintf("core %s is %s and has learned epoch %d", c.Name, c.Standing, c.Learned)
		}
	}
	ready := map[string]bool{}
	for _, p := range s.Node.Processes {
		ready[p.Name] = p.Ready
	}
	for _, m := range s.Fleet.Members {
		if m.Gone {
			return m.Name + " refuses connections"
		}
		if !m.Granted || m.Front && !ready[m.Name] {
			return m.Name + " is not ready"
		}
	}
	for _, p := range s.Node.Processes {
		if p.Ready && !slices.ContainsFunc(s.Fleet.Members, func(m member) bool { return m.Name == p.Name }) {
			return p.Name + " is not on the roster yet"
		}
	}
	return ""
}

func (a *App) printStatus(s *status) error {
	if s.Fleet != nil {
		if err := a.printFleet(s.Fleet, s.Node); err != nil {
			return err
		}
	} else if s.Fault != nil {
		fmt.Fprintf(a.Out, "no core answered: %s (%d): %s\n\n", s.Fault.Name, s.Fault.Code, s.Fault.Detail)
	}
	if s.Node == nil {
		return nil
	}
	if err := a.printNode(s.Node, s.Fleet == nil); err != nil || len(s.Tenants) == 0 {
		return err
	}
	fmt.Fprintln(a.Out)
	if err := a.printTenants(s.Tenants[:min(len(s.Tenants), tenantsShown)]); err != nil {
		return err
	}
	if more := len(s.Tenants) - tenantsShown; more > 0 {
		fmt.Fprintf(a.Out, "and %d more; see \"stepwick tally\"\n", more)
	}
	return nil
}

func (a *App) printStatusJSON(body, tenants []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return apierror.Errorf(apierror.BadAnswer, "%v", err)
	}
	if len(tenants) > 0 {
		fields["tenants"] = tenants
	}
	return a.printJSON(fields)
}

func (a *App) printFleet(f *fleetStatus, asked *nodeStatus) error {
	force := fmt.Sprintf("in force, confirmed by %d of %d", f.Confirmed, f.Roster)
	if !f.InForce {
		force = fmt.Sprintf("not known to be in force (%s), confirmed by %d of %d", f.Waiting, f.Confirmed, f.Roster)
	}
	fmt.Fprintf(a.Out, "epoch %d %s; sheet epoch %d; as core %s sees it\n", f.Version, force, f.SheetVersion, f.By)
	settled := "settled"
	if !f.RosterSettled {
		settled = "changing"
	}
	fmt.Fprintf(a.Out, "roster of epoch %d: %d members, %s\n", f.RosterVersion, f.Roster, settled)
	for _, duty := range slices.Sorted(maps.Keys(f.Duties)) {
		fmt.Fprintf(a.Out, "duty %s: %s, term %d\n", duty, f.Duties[duty].Holder, f.Duties[duty].Term)
	}
	if p := f.Plan; p != nil {
		fmt.Fprintf(a.Out, "plan %d of term %d by %s, for epoch %d; cause: %s\n", p.Number, p.Term, p.Holder, p.Version, p.Cause)
	} else {
		fmt.Fprintln(a.Out, "plan: none yet")
	}
	for _, zone := range slices.Sorted(maps.Keys(f.Evacuated)) {
		fmt.Fprintf(a.Out, "evacuated: %s, since epoch %d\n", zone, f.Evacuated[zone])
	}
	fmt.Fprintln(a.Out)
	t := a.table("CORE", "STANDING", "ANSWERS", "LEARNED", "LEASES")
	for _, c := range f.Cores {
		t.row(c.Name, c.Standing, yes(c.Answered), c.Learned, c.Leases)
	}
	if err := t.print(); err != nil {
		return err
	}
	fmt.Fprintln(a.Out)
	ready := map[string]string{}
	if asked != nil {
		for _, p := range asked.Processes {
			ready[p.Name] = yes(p.Ready)
		}
	}
	t = a.table("MEMBER", "LOCALITY", "ROLE", "LEASE", "CONFIRMED", "READY", "REFUSES")
	for _, m := range f.Members {
		if m.Gone {
			ready[m.Name] = "no"
		}
		t.row(m.Name, m.Zone, role(m.Core, m.Front), yes(m.Granted), yes(m.Confirmed), ready[m.Name], yes(m.Gone))
	}
	if err := t.print(); err != nil {
		return err
	}
	fmt.Fprintln(a.Out)
	return nil
}

func (a *App) printNode(n *nodeStatus, processes bool) error {
	ruling := "does not rule"
	if n.Ruling {
		ruling = "rules by " + n.By
	}
	ready := "ready"
	if !n.Ready {
		ready = "not ready (" + n.Cause + ")"
	}
	fmt.Fprintf(a.Out, "asked node %s in %s (%s): epoch %d, plan %d of term %d, %s, %s\n", n.Name, n.Zone, n.Role, n.Version, n.Plan, n.PlanTerm, ruling, ready)
	if processes {
		fmt.Fprintln(a.Out)
		t := a.table("PROCESS", "LOCALITY", "CORE", "STANDING", "READY", "CALLER ADDRESS")
		for _, p := range n.Processes {
			t.row(p.Name, p.Zone, yes(p.Core), p.Standing, yes(p.Ready), p.Caller)
		}
		if err := t.print(); err != nil {
			return err
		}
	}
	states := map[string][]string{}
	for name, state := range n.Servers {
		states[state] = append(states[state], name)
	}
	fmt.Fprintln(a.Out)
	t := a.table("SERVERS", "COUNT", "NAMES")
	for _, state := range slices.Sorted(maps.Keys(states)) {
		names := states[state]
		slices.Sort(names)
		t.row(state, len(names), strings.Join(names, " "))
	}
	return t.print()
}

func role(core, front bool) string {
	switch {
	case core && front:
		return "core+front"
	case core:
		return "core"
	}
	return "front"
}

func yes(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}
