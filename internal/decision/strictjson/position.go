package strictjson

import (
	"strconv"
	"strings"
)

// position is the path of a value in a body; nil is the body itself.
type position struct {
	parent *position
	// name is the member's name if the parent is an object, which named
	// reports; otherwise index is the element's index in a list.
	name  string
	named bool
	index int
}

// String returns the path with dots, followed by ": ", or nothing for the body
// itself, so that it can precede any message.
func (p *position) String() string {
	if p == nil {
		return ""
	}
	name := Excerpt(p.name)
	if !p.named {
		name = strconv.Itoa(p.index)
	}
	if p.parent == nil {
		return name + ": "
	}
	return strings.TrimSuffix(p.parent.String(), ": ") + "." + name + ": "
}
