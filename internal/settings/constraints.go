package settings

import "fmt"

// Roles of a process.
const (
	RoleFront = "front"
	RoleCore  = "core"
)

// Settings that a process must have, by its role.
var (
	requiredByAll  = []string{"name", "region", "zone", "listen.caller", "listen.internal", "seeds", "fleet.secret"}
	requiredByCore = []string{"data", "operator.keys"}
)

// reportFunc reports a problem of a setting.
type reportFunc func(name, reason string)

// checkRelations reports settings whose values contradict each other.
func (v *Values) checkRelations(report reportFunc) {
	leaseTTL := v.Duration("lease.ttl")
	for _, name := range []string{"lease.renew", "ping.interval"} {
		if v.Duration(name) > leaseTTL/2 {
			report(name, fmt.Sprintf("%s exceeds half of lease.ttl, which is %s", v.Duration(name), leaseTTL))
		}
	}
	if v.Duration("deadline.default") > v.Duration("deadline.max") {
		report("deadline.default", fmt.Sprintf("%s exceeds deadline.max, which is %s", v.Duration("deadline.default"), v.Duration("deadline.max")))
	}
}

// checkRequired reports the settings that the role requires and that are empty. It
// reports nothing if the role is empty.
func (v *Values) checkRequired(role string, report reportFunc) {
	if role == "" {
		return
	}
	v.reportEmpty(requiredByAll, role, report)
	if role == RoleCore {
		v.reportEmpty(requiredByCore, role, report)
	}
	for _, side := range []string{"caller", "internal"} {
		listen := v.String("listen." + side)
		if v.String("advertise."+side) == "" && listen != "" && checkAdvertised(listen) != nil {
			report("advertise."+side, "required, because listen."+side+" is a wildcard address, to which other processes can't connect")
		}
	}
}

func (v *Values) reportEmpty(names []string, role string, report reportFunc) {
	for _, name := range names {
		if v.isEmpty(name) && !(name == "seeds" && v.hasOneVoter()) {
			report(name, "a "+role+" requires this setting")
		}
	}
}

// hasOneVoter reports whether the fleet has a single voting core, in which case no
// seeds are required.
func (v *Values) hasOneVoter() bool { return v.Int("core.voters") == 1 }

func (v *Values) isEmpty(name string) bool {
	switch value := v.typed[name].(type) {
	case string:
		return value == ""
	case []string:
		return len(value) == 0
	}
	return false
}
