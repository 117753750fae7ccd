package simnode

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// marshal returns the JSON of a value; the keys of a map are sorted.
func marshal(value any) string {
	data, err := json.Marshal(value)
	So(err, ShouldBeNil)
	return string(data)
}

func TestForms(t *testing.T) {
	Convey("A server status has the documented fields", t, func() {
		So(marshal(statusAt("server00001", 5*time.Second, 100)), ShouldEqual, marshal(map[string]any{
			"server": "server00001", "incarnation": 1, "state": "ready", "slots": 16, "running": 105 % 13,
			"queued": 105 % 3, "tokens_per_second": 2000, "prefill_per_second": 24000, "kv_used": float64(105%97) / 100,
			"answered": 1105,
		}))
	})
	Convey("Orders have the documented fields", t, func() {
		s := newSheet(1)
		So(marshal(putRequest{OrderID: "first", Sheet: s}), ShouldEqual,
			marshal(map[string]any{"order_id": "first", "base": 0, "sheet": s}))
		So(marshal(patchRequest{Base: 3, OrderID: "change0", Changes: []weightPatch{{changedWeight, 2}}}), ShouldEqual,
			marshal(map[string]any{"order_id": "change0", "base": 3, "changes": []map[string]any{{"path": "weights.model00.r00", "value": 2}}}))
	})
}

func TestNodeSettings(t *testing.T) {
	Convey("Nodes get seeds and the options' settings, and only cores get a data directory", t, func() {
		f := newFleet(t.Context(), Options{
			Dir:      "/data",
			Cores:    3,
			Fronts:   10,
			Settings: map[string]string{"log.level": "info"},
		})
		core := f.coreSettings(1)
		So(core["name"], ShouldEqual, "core1")
		So(core["data"], ShouldEqual, "/data/core1")
		So(core["log.level"], ShouldEqual, "info")
		front := f.frontSettings(201)
		So(front["name"], ShouldEqual, "front201")
		So(front, ShouldNotContainKey, "data")
		So(front, ShouldNotContainKey, "platform.url")
		So(front["bind"], ShouldEqual, f.loopbackIP(frontGroup+1, 1))
		So(front["seeds"], ShouldEqual, f.address(coreGroup, 0, 7001)+","+f.address(coreGroup, 1, 7001)+","+f.address(coreGroup, 2, 7001))
	})
}

func TestStateCost(t *testing.T) {
	Convey("The message sizes grow with the numbers of servers and tenants", t, func() {
		So(MeasureServerState(20).SnapshotBytes, ShouldBeGreaterThan, MeasureServerState(2).SnapshotBytes)
		small, err := MeasureTenantState(2)
		So(err, ShouldBeNil)
		large, err := MeasureTenantState(20)
		So(err, ShouldBeNil)
		So(large.StateBytes, ShouldBeGreaterThan, small.StateBytes)
	})
}
