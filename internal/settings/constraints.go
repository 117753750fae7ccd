package settings

import "fmt"

// Roles of a process.
const (
	RoleFront = "front"
	RoleCore  = "core"
)

// Settings that a role can't do without.
var (
	requiredByAll  = []string{"name", "region", "zone", "listen.caller", "listen.internal", "seeds", "fleet.secret"}
	requiredByCore = []string{"data", "operator.keys"}
)

// report adds a problem of a setting.
type report func(name, reason string)

// checkRelations reports settings whose values don't fit each other.
func (v *Values) checkRelations(report report) {
	leaseTTL := v.Duration("lease.ttl")
	for _, name := range []string{"lease.renew", "ping.interval"} {
		if v.Duration(name) > leaseTTL/2 {
			report(name, fmt.Sprintf("%s is over half of lease.ttl, %s", v.Duration(name), leaseTTL))
		}
	}
	if v.Duration("deadline.default") > v.Duration("deadline.max") {
		report("deadline.default", fmt.Sprintf("%s is over deadline.max, %s", v.Duration("deadline.default"), v.Duration("deadline.max")))
	}
}

// checkRequired reports settings that the role needs and that are empty.
func (v *Values) checkRequired(role string, report report) {
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
			report("advertise."+side, "listen."+side+" is a wildcard, so the address told to others is needed")
		}
	}
}

func (v *Values) reportEmpty(names []string, role string, report report) {
	for _, name := range names {
		if v.isEmpty(name) && !(name == "seeds" && v.hasOneVoter()) {
			report(name, "a "+role+" needs it")
		}
	}
}

// hasOneVoter reports whether the fleet has a single core, which needs no
// seeds.
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
