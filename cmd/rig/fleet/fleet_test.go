package fleet

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/cmd/rig/history"
)

func TestNew(t *testing.T) {
	Convey("The first deployment", t, func() {
		recorder := history.NewRecorder(1)
		f, err := New(FirstDeployment(), "stepwick", t.TempDir(), recorder, 1)
		So(err, ShouldBeNil)
		Reset(func() {
			f.Close()
			recorder.Close()
		})
		Convey("has 9 nodes, 3 of them cores, 18 model and 3 web servers in three zones", func() {
			So(f.Nodes, ShouldHaveLength, 9)
			So(f.Cores(), ShouldHaveLength, 3)
			So(f.ModelServers, ShouldHaveLength, 18)
			So(f.WebServers, ShouldHaveLength, 3)
			inAbeokuta := f.NamesWhere(func(name string, location Location) bool {
				return f.Node(name) == nil && location.ZoneName() == "abeokuta/a"
			})
			So(inAbeokuta, ShouldHaveLength, 9)
		})
		Convey("uses the last two other fronts and the last other core as a node's seeds", func() {
			So(f.Node("core3").seedAddresses(), ShouldResemble, []string{
				f.Node("front6").advertisedAddress, f.Node("front5").advertisedAddress, f.Node("core2").advertisedAddress})
			So(f.Node("front6").seedAddresses(), ShouldResemble, []string{
				f.Node("front5").advertisedAddress, f.Node("front4").advertisedAddress, f.Node("core3").advertisedAddress})
		})
		Convey("applies a node's settings over the deployment's, and those over the fleet's defaults", func() {
			f.Spec.Settings = map[string]string{"core.voters": "5", "disk.quota": "1MiB"}
			node := f.Node("core1")
			node.SetSetting("disk.quota", "256KiB")
			settings := node.effectiveSettings()
			So(settings["core.voters"], ShouldEqual, "5")
			So(settings["disk.quota"], ShouldEqual, "256KiB")
			node.SetSetting("disk.quota", "")
			So(node.effectiveSettings()["disk.quota"], ShouldEqual, "1MiB")
		})
	})
}

func TestSizedDeployment(t *testing.T) {
	Convey("A sized deployment has the requested processes, spread evenly over the zones", t, func() {
		spec := SizedDeployment(Size{Cores: 5, Fronts: 100, Models: 9, Webs: 3})
		So(spec.Nodes, ShouldHaveLength, 105)
		So(spec.ModelLocations, ShouldHaveLength, 9)
		So(spec.WebLocations, ShouldHaveLength, 3)
		cores, inZone := 0, map[Location]int{}
		for _, node := range spec.Nodes {
			inZone[node.Location]++
			if node.Core {
				cores++
			}
		}
		So(cores, ShouldEqual, 5)
		for _, zone := range firstDeploymentZones {
			So(inZone[zone], ShouldBeBetweenOrEqual, 34, 36)
		}
	})
}
