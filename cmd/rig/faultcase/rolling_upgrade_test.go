package faultcase

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
)

func TestRollingSteps(t *testing.T) {
	Convey("Every node is upgraded once and then rolled back once, fronts before cores", t, func() {
		var nodes []*fleet.Node
		for _, spec := range fleet.FirstDeployment().Nodes {
			nodes = append(nodes, &fleet.Node{NodeSpec: spec})
		}
		steps := rollingSteps(nodes, "new", "previous")
		var upgraded, rolledBack []string
		for i, step := range steps {
			if i < len(nodes) {
				So(step.phase, ShouldEqual, phaseUpgrade)
				So(step.binary, ShouldEqual, "new")
				upgraded = append(upgraded, step.node.Name)
				continue
			}
			So(step.phase, ShouldEqual, phaseRollback)
			So(step.binary, ShouldEqual, "previous")
			rolledBack = append(rolledBack, step.node.Name)
		}
		want := []string{"front1", "front2", "front3", "front4", "front5", "front6", "core1", "core2", "core3"}
		So(upgraded, ShouldResemble, want)
		So(rolledBack, ShouldResemble, want)
	})
}

func TestCheckPreviousBinary(t *testing.T) {
	Convey("Only the rolling upgrade needs a previous binary, which must be executable", t, func() {
		rolling := []Case{Mix, RollingUpgrade}
		So(CheckPreviousBinary(append(Cases, Mix), ""), ShouldBeNil)
		So(CheckPreviousBinary(rolling, "").Error(), ShouldContainSubstring, "--older PATH")
		dir := t.TempDir()
		So(CheckPreviousBinary(rolling, filepath.Join(dir, "missing")), ShouldNotBeNil)
		So(CheckPreviousBinary(rolling, dir), ShouldNotBeNil)
		file := filepath.Join(dir, "stepwick")
		So(os.WriteFile(file, nil, 0o600), ShouldBeNil)
		So(CheckPreviousBinary(rolling, file), ShouldNotBeNil)
		So(os.Chmod(file, 0o700), ShouldBeNil)
		So(CheckPreviousBinary(rolling, file), ShouldBeNil)
	})
}

func TestStartOnPreviousBinary(t *testing.T) {
	Convey("The whole fleet starts on the previous binary", t, func() {
		options := Options{Spec: fleet.FirstDeployment(), Binary: "new", PreviousBinary: "previous"}
		startOnPreviousBinary(&options)
		for _, spec := range options.Spec.Nodes {
			So(spec.Binary, ShouldEqual, "previous")
		}
	})
}

func TestBrokenStreams(t *testing.T) {
	Convey("A stream is broken if it began and neither ended nor was abandoned by the caller", t, func() {
		events := []history.Event{{}}
		recording := &history.Recording{Attempts: []history.Attempt{
			{Events: events, Outcome: history.Served},
			{Events: events, Outcome: history.Abandoned},
			{Outcome: history.Rejected},
			{Events: events, Outcome: history.ConnectionBroken},
			{Events: events, Outcome: history.EndedByError},
		}}
		So(brokenStreams(recording), ShouldEqual, 2)
	})
}
