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

// metricFamilies returns one line, sorted, for each metric that a part of a
// front registers: name, type, labels and help.
func metricFamilies(t testing.TB, part string) string {
	t.Helper()
	registry := &recorder{Registry: prometheus.NewRegistry()}
	var err error
	switch part {
	case "front":
		_, err = front.New(front.Config{Name: "n1"}, nil, nil, clock.System(), events.Discard, registry)
	case "gateway":
		_, err = gateway.New(gateway.Config{}, nil, nil, nil, clock.System(), events.Discard, registry)
	case "spend":
		_, err = quotasync.New(quotasync.Config{Self: "n1", Metrics: registry}, nil, clock.System(), nil, nil, events.Discard)
	default:
		t.Fatalf("no part %s", part)
	}
	if err != nil {
		t.Fatal(err)
	}
	families := strings.SplitAfter(registry.out.String(), "\n")
	slices.Sort(families)
	return strings.Join(families, "")
}

// recorder notes what is registered, also where no series exists yet.
type recorder struct {
	*prometheus.Registry
	out strings.Builder
}

var described = regexp.MustCompile(`^Desc{fqName: "([^"]*)", help: "([^"]*)", unit: "([^"]*)", constLabels: {([^}]*)}, variableLabels: {([^}]*)}}$`)

// Register notes a collector and registers it.
func (r *recorder) Register(collector prometheus.Collector) error {
	if err := r.Registry.Register(collector); err != nil {
		return err
	}
	descriptions := make(chan *prometheus.Desc, 16)
	collector.Describe(descriptions)
	close(descriptions)
	for description := range descriptions {
		found := described.FindStringSubmatch(description.String())
		if found == nil {
			return fmt.Errorf("no description: %s", description)
		}
		fmt.Fprintf(&r.out, "%s: %s, unit [%s], labels [%s], constant labels [%s]: %s\n", found[1], r.kind(collector, found[1]),
			found[3], found[5], found[4], found[2])
	}
	return nil
}

// kind returns a metric's type. One with labels has no series yet, so that its
// type is the collector's.
func (r *recorder) kind(collector prometheus.Collector, name string) string {
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
