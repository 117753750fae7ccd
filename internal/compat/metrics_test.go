package compat

import (
	"strings"
	"testing"
)

func TestMetricsKeepNamesTypesAndLabels(t *testing.T) {
	for _, part := range []string{"front", "gateway", "spend"} {
		t.Run(part, func(t *testing.T) {
			families := metricFamilies(t, part)
			if strings.Contains(families, ": unknown,") {
				t.Errorf("a registered metric has an unknown type:\n%s", families)
			}
			sameAsFixture(t, families, "metrics", part+".txt")
		})
	}
}
