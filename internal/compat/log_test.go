package compat

import (
	"strings"
	"testing"
	"testing/synctest"
)

func TestLogLinesKeepTheirKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		logEvents(&out)
		sameAsFixture(t, out.String(), "log", "lines.txt")
	})
}
