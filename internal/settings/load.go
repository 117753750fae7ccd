package settings

import (
	"fmt"
	"os"
	"sort"
	"strings"

	"stepwick/internal/apierror"

	"github.com/knadh/koanf/providers/posflag"
	"github.com/knadh/koanf/v2"
	"github.com/pkg/errors"
	"github.com/spf13/pflag"
	"go.yaml.in/yaml/v3"
)

// Roles of a process.
const (
	RoleFront = "front"
	RoleCore  = "core"
)

// Values are the settings of one process. They don't change.
type Values struct {
	typed   map[string]any
	source  map[string]string
	renamed map[string]string
}

// Renamed returns the names in the settings file that settings had before, with
// those that they have now.
func (v *Values) Renamed() map[string]string { return v.renamed }

// Problem is one fault of a settings file or flag.
type Problem struct {
	File   string // empty for a flag
	Line   int    // 0 where no line can be named
	Name   string
	Reason string
}

func (p Problem) String() string {
	switch {
	case p.File == "":
		return fmt.Sprintf("--%s: %s", p.Name, p.Reason)
	case p.Line == 0:
		return fmt.Sprintf("%s: %s: %s", p.File, p.Name, p.Reason)
	default:
		return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Name, p.Reason)
	}
}

// Register declares a flag for every setting. Flags win over the file. A former
// name of a setting is a flag too.
func Register(flags *pflag.FlagSet) {
	flags.SetNormalizeFunc(func(_ *pflag.FlagSet, name string) pflag.NormalizedName {
		if now, renamed := formerNames[name]; renamed {
			name = now
		}
		return pflag.NormalizedName(name)
	})
	for _, row := range Table {
		help := row.Help
		if row.Rule != "" {
			help += " [" + row.Rule + "]"
		}
		flags.Var(&flagValue{row: row, text: row.Default}, row.Name, help)
	}
}

type flagValue struct {
	row  Row
	text string
	set  bool
}

func (v *flagValue) String() string { return v.text }
func (v *flagValue) Type() string   { return string(v.row.Type) }

func (v *flagValue) Set(text string) error {
	if v.row.Type == List && v.set && v.text != "" {
		text = v.text + "," + text
	}
	v.text, v.set = text, true
	return nil
}

// Load reads the settings file (none when the name is empty) and the flags
// (none when nil) over the defaults. The error is a BadSetting fault whose
// detail has one line for each problem found.
func Load(file string, flags *pflag.FlagSet) (*Values, error) {
	return LoadRole(file, flags, "")
}

// LoadRole is Load, and also reports what the role cannot do without.
func LoadRole(file string, flags *pflag.FlagSet, role string) (*Values, error) {
	var data []byte
	if file != "" {
		var err error
		if data, err = os.ReadFile(file); err != nil {
			return nil, apierror.Errorf(apierror.BadSetting, "%v", errors.Cause(err))
		}
	}
	values, problems := Read(file, data, flags, role)
	if len(problems) > 0 {
		lines := make([]string, len(problems))
		for i, problem := range problems {
			lines[i] = problem.String()
		}
		return nil, &apierror.Error{Code: apierror.BadSetting, Detail: strings.Join(lines, "\n")}
	}
	return values, nil
}

type cells map[string]any

func (c cells) ReadBytes() ([]byte, error) { return nil, errors.New("cells have no bytes") }

func (c cells) Read() (map[string]any, error) { return c, nil }

const noSplit = "\x00"

// Read reads a settings file's bytes and the flags, and returns every problem
// in the order of the file, then the flags, then what is missing.
func Read(file string, data []byte, flags *pflag.FlagSet, role string) (*Values, []Problem) {
	written, lines, renamed, problems := flatten(file, data)

	layers := koanf.New(noSplit)
	defaults := cells{}
	for _, row := range Table {
		defaults[row.Name] = row.Default
	}
	_ = layers.Load(defaults, nil)
	_ = layers.Load(written, nil)
	if flags != nil {
		_ = layers.Load(posflag.ProviderWithFlag(flags, noSplit, layers, func(f *pflag.Flag) (string, any) {
			if _, known := rows[f.Name]; !known {
				return "", nil
			}
			return f.Name, f.Value.String()
		}), nil)
	}

	values := &Values{typed: map[string]any{}, source: map[string]string{}, renamed: renamed}
	for _, row := range Table {
		source := "default"
		problem := Problem{File: file, Line: lines[row.Name], Name: row.Name}
		if _, ok := written[row.Name]; ok {
			source = "file"
		}
		if flags != nil && flags.Changed(row.Name) {
			source, problem.File, problem.Line = "flag", "", 0
		}
		text := layers.String(row.Name)
		value, err := row.Parse(text)
		if err == nil && row.Secret && row.Type == String {
			value, err = readSecret(row, text)
		}
		if err != nil {
			problem.Reason = err.Error()
			problems = append(problems, problem)
			value, _ = row.Type.parse(row.Default)
		}
		values.typed[row.Name], values.source[row.Name] = value, source
	}
	sort.SliceStable(problems, func(i, j int) bool {
		a, b := problems[i], problems[j]
		if (a.File == "") != (b.File == "") {
			return a.File != ""
		}
		return a.Line < b.Line
	})
	if len(problems) == 0 {
		place := func(name, reason string) {
			problem := Problem{File: file, Line: lines[name], Name: name, Reason: reason}
			if values.source[name] == "flag" {
				problem.File, problem.Line = "", 0
			}
			problems = append(problems, problem)
		}
		values.relations(place)
		values.require(role, place)
	}
	return values, problems
}

func readSecret(row Row, text string) (any, error) {
	name, ok := strings.CutPrefix(text, "@")
	if !ok {
		return text, nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Cause(err)
	}
	secret := strings.TrimSpace(string(data))
	if strings.HasPrefix(secret, "@") {
		return nil, errors.Errorf("%s holds no secret", name)
	}
	return secret, row.Check(secret)
}

func (v *Values) relations(place func(name, reason string)) {
	for _, name := range []string{"lease.renew", "ping.interval"} {
		if v.Duration(name) > v.Duration("lease.ttl")/2 {
			place(name, fmt.Sprintf("%s is over half of lease.ttl, %s", v.Duration(name), v.Duration("lease.ttl")))
		}
	}
	if v.Duration("deadline.default") > v.Duration("deadline.max") {
		place("deadline.default", fmt.Sprintf("%s is over deadline.max, %s", v.Duration("deadline.default"), v.Duration("deadline.max")))
	}
}

func (v *Values) require(role string, place func(name, reason string)) {
	if role == "" {
		return
	}
	needed := []string{"name", "region", "zone", "listen.caller", "listen.internal", "seeds", "fleet.secret"}
	if role == RoleCore {
		needed = append(needed, "data", "operator.keys")
	}
	for _, name := range needed {
		switch value := v.typed[name].(type) {
		case string:
			if value == "" {
				place(name, "a "+role+" needs it")
			}
		case []string:
			if len(value) == 0 && !(name == "seeds" && v.Int("core.voters") == 1) {
				place(name, "a "+role+" needs it")
			}
		}
	}
	for _, side := range []string{"caller", "internal"} {
		listen := v.String("listen." + side)
		if v.String("advertise."+side) == "" && listen != "" && checkAdvertised(listen) != nil {
			place("advertise."+side, "listen."+side+" is a wildcard, so the address told to others is needed")
		}
	}
}

func flatten(file string, data []byte) (written cells, lines map[string]int, renamed map[string]string, problems []Problem) {
	written, lines, renamed = cells{}, map[string]int{}, map[string]string{}
	fault := func(line int, name, format string, args ...any) {
		problems = append(problems, Problem{File: file, Line: line, Name: name, Reason: fmt.Sprintf(format, args...)})
	}
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		fault(0, "file", "%s", strings.TrimPrefix(err.Error(), "yaml: "))
		return written, lines, renamed, problems
	}
	if len(document.Content) == 0 {
		return written, lines, renamed, problems
	}

	var walk func(prefix string, node *yaml.Node)
	walk = func(prefix string, node *yaml.Node) {
		for i := 0; i+1 < len(node.Content); i += 2 {
			key, value := node.Content[i], node.Content[i+1]
			name := prefix + key.Value
			if now, former := formerNames[name]; former {
				renamed[name], name = now, now
			}
			row, known := rows[name]
			if known && lines[name] != 0 {
				fault(key.Line, name, "set twice; first at line %d", lines[name])
				continue
			}
			switch {
			case value.Kind == yaml.MappingNode && isGroup(name):
				walk(name+".", value)
			case !known:
				fault(key.Line, name, "unknown setting%s", nearest(name))
			case value.Kind == yaml.SequenceNode && row.Type == List:
				items := make([]string, 0, len(value.Content))
				for _, item := range value.Content {
					if item.Kind != yaml.ScalarNode || strings.Contains(item.Value, ",") {
						fault(item.Line, name, "an item is not plain text")
						continue
					}
					items = append(items, item.Value)
				}
				written[name], lines[name] = strings.Join(items, ","), key.Line
			case value.Kind == yaml.ScalarNode:
				text := value.Value
				if value.Tag == "!!null" {
					text = ""
				}
				written[name], lines[name] = text, key.Line
			default:
				fault(key.Line, name, "takes a %s", row.Type)
			}
		}
	}
	if root := document.Content[0]; root.Kind == yaml.MappingNode {
		walk("", root)
	} else {
		fault(root.Line, "file", "must be a mapping of setting names to values")
	}
	return written, lines, renamed, problems
}

func isGroup(name string) bool {
	for _, row := range Table {
		if strings.HasPrefix(row.Name, name+".") || strings.HasPrefix(row.Former, name+".") {
			return true
		}
	}
	return false
}

func nearest(name string) string {
	best, distance := "", 3
	for _, row := range Table {
		if d := edits(name, row.Name); d < distance {
			best, distance = row.Name, d
		}
	}
	if best == "" {
		return ""
	}
	return "; did you mean " + best + "?"
}

func edits(a, b string) int {
	previous := make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := 1; i <= len(a); i++ {
		current := make([]int, len(b)+1)
		current[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			current[j] = min(previous[j]+1, current[j-1]+1, previous[j-1]+cost)
		}
		previous = current
	}
	return previous[len(b)]
}
