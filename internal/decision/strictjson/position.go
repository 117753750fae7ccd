package strictjson

import (
	"strconv"
	"strings"
)

// valuePath is the path of a value within a body; nil denotes the body itself.
type valuePath struct {
	parent *valuePath
	// name is the value's name if inObject is set, which means that the value is
	// a member of an object. Otherwise index is the value's index in a list.
	name     string
	inObject bool
	index    int
}

// String returns the path as a prefix for error messages: its elements separated
// by dots and followed by ": ", or an empty string for the body itself.
func (p *valuePath) String() string {
	if p == nil {
		return ""
	}
	name := Excerpt(p.name)
	if !p.inObject {
		name = strconv.Itoa(p.index)
	}
	if p.parent == nil {
		return name + ": "
	}
	return strings.TrimSuffix(p.parent.String(), ": ") + "." + name + ": "
}
