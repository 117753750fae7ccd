package sheet

import (
	"fmt"
	"strings"

	"stepwick/internal/apierror"
)

// maxViolations bounds how many broken rules an error spells out.
const maxViolations = 8

// violations collects the rules that a document breaks. The zero value has
// none.
type violations struct {
	first []string
	more  int
}

// add records a broken rule: spelled out, or counted where there are many.
func (v *violations) add(format string, args ...any) {
	if len(v.first) == maxViolations {
		v.more++
		return
	}
	v.first = append(v.first, fmt.Sprintf(format, args...))
}

// apiError returns one error for all the broken rules; nil if there are none.
func (v *violations) apiError(code apierror.Code) *apierror.Error {
	if len(v.first) == 0 {
		return nil
	}
	detail := strings.Join(v.first, "; ")
	if v.more > 0 {
		detail += fmt.Sprintf("; and %d more", v.more)
	}
	return &apierror.Error{Code: code, Detail: detail}
}
