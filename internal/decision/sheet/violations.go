package sheet

import (
	"fmt"
	"strings"

	"stepwick/internal/apierror"
)

// maxViolations is the maximum number of violations that an error describes.
const maxViolations = 8

// violationList collects the rules that a document violates. The zero value is
// empty.
type violationList struct {
	details []string
	omitted int
}

// addf adds a violation. Beyond maxViolations, it is only counted.
func (v *violationList) addf(format string, args ...any) {
	if len(v.details) == maxViolations {
		v.omitted++
		return
	}
	v.details = append(v.details, fmt.Sprintf(format, args...))
}

// apiError returns one error for all violations, or nil if there are none.
func (v *violationList) apiError(code apierror.Code) *apierror.Error {
	if len(v.details) == 0 {
		return nil
	}
	detail := strings.Join(v.details, "; ")
	if v.omitted > 0 {
		detail += fmt.Sprintf("; and %d more", v.omitted)
	}
	return &apierror.Error{Code: code, Detail: detail}
}
