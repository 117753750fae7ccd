package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"stepwick/internal/apierror"
)

// Problem is an error in a settings file or flag.
type Problem struct {
	File   string // empty for a flag
	Line   int    // from 1; 0 if unknown
	Name   string
	Reason string
}

// String returns the problem as a line that begins with its position.
func (p Problem) String() string {
	switch {
	case p.File == "":
		return fmt.Sprintf("--%s: %s", p.Name, p.Reason)
	case p.Line == 0:
		return fmt.Sprintf("%s: %s: %s", p.File, p.Name, p.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Name, p.Reason)
}

// sortProblems sorts the problems of the file by line, followed by those of flags.
func sortProblems(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		aIsFlag := a.File == ""
		bIsFlag := b.File == ""
		switch {
		case aIsFlag && !bIsFlag:
			return 1
		case !aIsFlag && bIsFlag:
			return -1
		}
		return cmp.Compare(a.Line, b.Line)
	})
}

// problemsError returns a BadSetting error with one line for each problem.
func problemsError(problems []Problem) *apierror.Error {
	lines := make([]string, len(problems))
	for i, problem := range problems {
		lines[i] = problem.String()
	}
	return &apierror.Error{Code: apierror.BadSetting, Detail: strings.Join(lines, "\n")}
}
