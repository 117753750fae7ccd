package faultcase

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/events"
)

var testTargets = soakTargets{
	cores:  []string{"core1", "core2", "core3"},
	fronts: []string{"front1", "front2", "front3", "front4", "front5", "front6"},
	models: []string{"model1", "model2", "model3"},
}

func TestSoakSchedule(t *testing.T) {
	Convey("The schedule of a storm depends only on its seed and number", t, func() {
		schedule := newSoakSteps(7, 1, testTargets, stormLength)
		So(newSoakSteps(7, 1, testTargets, stormLength), ShouldResemble, schedule)
		So(newSoakSteps(8, 1, testTargets, stormLength), ShouldNotResemble, schedule)
		So(newSoakSteps(7, 2, testTargets, stormLength), ShouldNotResemble, schedule)
	})
	Convey("The steps of a storm are within its length, sorted by time and bounded for each target", t, func() {
		for seed := range uint64(200) {
			last := time.Duration(0)
			stepsOf := map[string]int{}
			for _, step := range newSoakSteps(seed, 0, testTargets, stormLength) {
				So(step.At, ShouldBeBetweenOrEqual, last, stormLength)
				last = step.At
				if step.Action != soakHangups {
					stepsOf[step.Target]++
				}
			}
			for _, count := range stepsOf {
				So(count, ShouldBeLessThanOrEqualTo, maxStepsPerNode)
			}
		}
	})
	Convey("Three storms include every action, and steps of different targets overlap", t, func() {
		for seed := range uint64(50) {
			seen := map[soakAction]bool{}
			overlaps := false
			for storm := range uint64(3) {
				schedule := newSoakSteps(seed, storm, testTargets, stormLength)
				for i, step := range schedule {
					seen[step.Action] = true
					overlaps = overlaps || i > 0 && step.At < schedule[i-1].At+schedule[i-1].Length && step.Target != schedule[i-1].Target
				}
			}
			So(overlaps, ShouldBeTrue)
			for _, action := range []soakAction{
				soakRestart, soakRestartFrozen, soakKillDraining, soakKill, soakFreeze, soakHangups,
				soakChangeSettings, soakChangeSheet, soakRaceOperators, soakReplaceServer, soakCrashServer,
			} {
				So(seen[action], ShouldBeTrue)
			}
		}
	})
	Convey("The storms of a soak depend only on its length", t, func() {
		So(stormLengths(25*time.Second), ShouldResemble, []time.Duration{stormLength, stormLength, 5 * time.Second})
		So(stormLengths(10*time.Second), ShouldResemble, []time.Duration{stormLength})
	})
	Convey("A fleet of one front and one core has a schedule", t, func() {
		smallest := soakTargets{cores: []string{"core1"}, fronts: []string{"front1"}, models: []string{"model1"}}
		So(newSoakSteps(1, 0, smallest, stormLength), ShouldNotBeEmpty)
	})
}

func TestFindFailure(t *testing.T) {
	write := func(text string) string {
		path := filepath.Join(t.TempDir(), "node.log")
		So(os.WriteFile(path, []byte(text), savedFileMode), ShouldBeNil)
		return path
	}
	Convey("Ordinary log events are no failure; a panic, a fatal error and a failed service are", t, func() {
		ordinary := "node=front1 level=info event=1002 event_name=process_stopping name=front1\n"
		line, err := findFailure(write(ordinary))
		So(err, ShouldBeNil)
		So(line, ShouldBeEmpty)
		for _, failure := range []string{
			"node=front1 level=error event=1006 event_name=service_failed service=spend panic=boom",
			"panic: runtime error: index out of range",
			"fatal error: concurrent map writes",
		} {
			line, err = findFailure(write(ordinary + failure + "\n" + ordinary))
			So(err, ShouldBeNil)
			So(line, ShouldEqual, failure)
		}
	})
	Convey("The event numbers and names match the event catalogue", t, func() {
		names := map[int]string{}
		for _, event := range events.Catalogue() {
			names[event.Number] = event.Name
		}
		for number, name := range failureEvents {
			So(names[number], ShouldEqual, name)
		}
	})
}
