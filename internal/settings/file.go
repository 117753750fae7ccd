package settings

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v3"
)

// yamlNull is the YAML tag of an empty value.
const yamlNull = "!!null"

// settingsFile is the content of a settings file, before the values are parsed.
type settingsFile struct {
	name string
	// texts and lines are keyed by the settings' current names.
	texts layer
	lines map[string]int
	// formerNames maps each former name that the file uses to the current one.
	formerNames map[string]string
	problems    []Problem
}

// parseFile parses a settings file in YAML. A setting with a dotted name may be written
// under that name or as a nested mapping.
func parseFile(name string, data []byte) *settingsFile {
	file := &settingsFile{
		name:        name,
		texts:       make(layer),
		lines:       make(map[string]int),
		formerNames: make(map[string]string),
	}
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		file.addProblem(0, "file", "%s", strings.TrimPrefix(err.Error(), "yaml: "))
		return file
	}
	if len(document.Content) == 0 {
		return file
	}
	root := document.Content[0]
	if root.Kind != yaml.MappingNode {
		file.addProblem(root.Line, "file", "must be a mapping of setting names to values")
		return file
	}
	file.readMapping("", root)
	return file
}

func (f *settingsFile) addProblem(line int, name, format string, args ...any) {
	f.problems = append(f.problems, Problem{
		File:   f.name,
		Line:   line,
		Name:   name,
		Reason: fmt.Sprintf(format, args...),
	})
}

// readMapping reads the settings of a mapping. The prefix is prepended to each key.
func (f *settingsFile) readMapping(prefix string, mapping *yaml.Node) {
	// The content of a mapping alternates between keys and values.
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		key := mapping.Content[i]
		f.readEntry(prefix+key.Value, key.Line, mapping.Content[i+1])
	}
}

// readEntry reads one setting, or a mapping of settings with a common prefix.
func (f *settingsFile) readEntry(name string, line int, value *yaml.Node) {
	if current, renamed := currentNames[name]; renamed {
		f.formerNames[name] = current
		name = current
	}
	row, known := rowsByName[name]
	if known && f.lines[name] != 0 {
		f.addProblem(line, name, "set twice; first set at line %d", f.lines[name])
		return
	}
	switch {
	case value.Kind == yaml.MappingNode && isGroup(name):
		f.readMapping(name+".", value)
	case !known:
		f.addProblem(line, name, "unknown setting%s", suggestion(name))
	case value.Kind == yaml.SequenceNode && row.Type == List:
		f.set(name, line, f.joinItems(name, value))
	case value.Kind == yaml.ScalarNode && value.Tag == yamlNull:
		f.set(name, line, "")
	case value.Kind == yaml.ScalarNode:
		f.set(name, line, value.Value)
	default:
		f.addProblem(line, name, "must be a %s", row.Type)
	}
}

func (f *settingsFile) set(name string, line int, text string) {
	f.texts[name] = text
	f.lines[name] = line
}

// joinItems returns the items of a sequence as comma-separated text, which is the form
// that parseList expects.
func (f *settingsFile) joinItems(name string, sequence *yaml.Node) string {
	items := make([]string, 0, len(sequence.Content))
	for _, item := range sequence.Content {
		if item.Kind != yaml.ScalarNode || strings.Contains(item.Value, ",") {
			f.addProblem(item.Line, name, "a list item must be a single value without commas")
			continue
		}
		items = append(items, item.Value)
	}
	return strings.Join(items, ",")
}

// isGroup reports whether the name, followed by a dot, is a prefix of the current or
// former name of any setting.
func isGroup(name string) bool {
	for _, row := range Table {
		if strings.HasPrefix(row.Name, name+".") || strings.HasPrefix(row.FormerName, name+".") {
			return true
		}
	}
	return false
}
