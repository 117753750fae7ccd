package loadgen

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
)

// marshalMap returns the JSON of a map, whose fields are sorted by name.
func marshalMap(fields map[string]any) string {
	data, err := json.Marshal(fields)
	So(err, ShouldBeNil)
	return string(data)
}

func TestRequestForms(t *testing.T) {
	tenant := FirstTenants()[1]
	call := Call{Tenant: tenant, Location: fleet.Location{Region: "lagos", Zone: "a"}, Prefix: 4}
	Convey("A prompt has the documented fields of the callers' API", t, func() {
		body, err := io.ReadAll(callRequest(call, "127.0.0.1:1", "t1", time.Second).Body)
		So(err, ShouldBeNil)
		So(string(body), ShouldEqual, marshalMap(map[string]any{
			"service": "helpline", "prefix": "helpdesk prefix 4", "session": "token=t1", "prefix_tokens": 1200,
			"session_tokens": 200, "max_tokens": 40, "deadline_ms": 1000, "region": "lagos", "home": "lagos",
		}))
	})
	Convey("A request to a model server has the documented fields of the servers' protocol", t, func() {
		body, err := io.ReadAll(serverRequest(call, "127.0.0.1:1", "d1").Body)
		So(err, ShouldBeNil)
		So(string(body), ShouldEqual, marshalMap(map[string]any{
			"id": "d1", "service": "helpline", "prefix": "helpdesk prefix 4", "session": "token=d1",
			"prefix_tokens": 1200, "session_tokens": 200, "max_tokens": 40,
		}))
	})
	Convey("Orders have the documented fields of the operators' API", t, func() {
		operators := &Operators{idPrefix: "o1"}
		sheet := Sheet{Services: map[string]SheetService{"a": {Kind: history.KindWeb, PlainTokens: 50}}}
		for _, order := range []struct {
			made   *Order
			fields map[string]any
		}{
			{operators.Put("ade", 0, sheet, 7), map[string]any{"order_id": "o1-1", "base": 0, "sheet": sheet}},
			{operators.Patch("ade", 3, Change{Path: "x", Value: "y"}), map[string]any{"order_id": "o1-2", "base": 3, "changes": []map[string]any{
				{"path": "tenants.probe.keys", "value": []string{fleet.HashKey("probe-key-1")}}, {"path": "x", "value": "y"}}}},
			{operators.Evacuate("ade", "lagos/a"), map[string]any{"order_id": "o1-3", "locality": "lagos/a"}},
			{operators.Restore("ade", "lagos/a"), map[string]any{"order_id": "o1-4", "locality": "lagos/a"}},
		} {
			data, err := json.Marshal(order.made.Body)
			So(err, ShouldBeNil)
			So(string(data), ShouldEqual, marshalMap(order.fields))
		}
	})
}
