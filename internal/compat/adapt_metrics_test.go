package compat

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/node/front"
	"stepwick/internal/node/gateway"
	"stepwick/internal/node/quotasync"
)

// metricFamilies returns one line, sorted, for each metric that a component of the
// front registers: name, type, unit, labels and help.
func metricFamilies(t testing.TB, part string) string {
	t.Helper()
	registry := &metricRecorder{Registry: prometheus.NewRegistry()}
	var err error
	switch part {
	case "front":
		_, err = front.New(front.Config{Name: "n1"}, nil, nil, clock.System(), events.Discard, registry)
	case "gateway":
		_, err = gateway.New(gateway.Config{}, nil, nil, nil, clock.System(), events.Discard, registry)
	case "spend":
		_, err = quotasync.New(quotasync.Config{Self: "n1", Metrics: registry}, nil, clock.System(), nil, nil, events.Discard)
	default:
		t.Fatalf("unknown component %s", part)
	}
	if err != nil {
		t.Fatal(err)
	}
	families := strings.SplitAfter(registry.out.String(), "\n")
	slices.Sort(families)
	return strings.Join(families, "")
}

// metricRecorder records the description of each registered metric, including
// metrics that have no series yet.
type metricRecorder struct {
	*prometheus.Registry
	out strings.Builder
}

var descriptionPattern = regexp.MustCompile(`^Desc{fqName: "([^"]*)", help: "([^"]*)", unit: "([^"]*)", constLabels: {([^}]*)}, variableLabels: {([^}]*)}}$`)

// Register registers a collector and records its descriptions.
func (r *metricRecorder) Register(collector prometheus.Collector) error {
	if err := r.Registry.Register(collector); err != nil {
		return err
	}
	descriptions := make(chan *prometheus.Desc, 16)
	collector.Describe(descriptions)
	close(descriptions)
	for description := range descriptions {
		match := descriptionPattern.FindStringSubmatch(description.String())
		if match == nil {
			return fmt.Errorf("cannot parse metric description: %s", description)
		}
		fmt.Fprintf(&r.out, "%s: %s, unit [%s], labels [%s], constant labels [%s]: %s\n", match[1], r.kind(collector, match[1]),
			match[3], match[5], match[4], match[2])
	}
	return nil
}

// kind returns a metric's type. A metric with labels has no series yet, so its type
// follows from the type of its collector.
func (r *metricRecorder) kind(collector prometheus.Collector, name string) string {
	switch collector.(type) {
	case *prometheus.HistogramVec:
		return "histogram"
	case *prometheus.CounterVec:
		return "counter"
	case *prometheus.GaugeVec:
		return "gauge"
	}
	families, err := r.Gather()
	if err != nil {
		return err.Error()
	}
	for _, family := range families {
		if family.GetName() == name {
			return strings.ToLower(family.GetType().String())
		}
	}
	return "unknown"
}
