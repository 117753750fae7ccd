package settings

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v3"
)

// yamlNull is the tag of a key without a value.
const yamlNull = "!!null"

// settingsFile is what a settings file contains, before the values are parsed.
type settingsFile struct {
	name string
	// texts and lines are by the settings' current names.
	texts layer
	lines map[string]int
	// formerNames has the current name of each former name that the file uses.
	formerNames map[string]string
	problems    []Problem
}

// parseFile parses a settings file: YAML, nested or with dotted names.
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

// readMapping reads the settings of a mapping whose names begin with a prefix.
func (f *settingsFile) readMapping(prefix string, mapping *yaml.Node) {
	// The content of a mapping is its keys and values in turn.
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		key := mapping.Content[i]
		f.readEntry(prefix+key.Value, key.Line, mapping.Content[i+1])
	}
}

// readEntry reads one setting or a group of them.
func (f *settingsFile) readEntry(name string, line int, value *yaml.Node) {
	if current, renamed := currentNames[name]; renamed {
		f.formerNames[name] = current
		name = current
	}
	row, known := rowsByName[name]
	if known && f.lines[name] != 0 {
		f.addProblem(line, name, "set twice; first at line %d", f.lines[name])
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
		f.addProblem(line, name, "takes a %s", row.Type)
	}
}

func (f *settingsFile) set(name string, line int, text string) {
	f.texts[name] = text
	f.lines[name] = line
}

// joinItems returns the items of a sequence as the text of a list.
func (f *settingsFile) joinItems(name string, sequence *yaml.Node) string {
	items := make([]string, 0, len(sequence.Content))
	for _, item := range sequence.Content {
		if item.Kind != yaml.ScalarNode || strings.Contains(item.Value, ",") {
			f.addProblem(item.Line, name, "an item is not plain text")
			continue
		}
		items = append(items, item.Value)
	}
	return strings.Join(items, ",")
}

// isGroup reports whether the names of some settings begin with the name and a
// dot.
func isGroup(name string) bool {
	for _, row := range Table {
		if strings.HasPrefix(row.Name, name+".") || strings.HasPrefix(row.FormerName, name+".") {
			return true
		}
	}
	return false
}
