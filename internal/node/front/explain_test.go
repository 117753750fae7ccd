package front

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/apierror"
	"stepwick/internal/node/follower"
	"stepwick/internal/wire"
)

func TestConnectRuntimeSettingsAndExplain(t *testing.T) {
	Convey("The nearest ready nodes come first, evacuated ones last", t, func() {
		inBubble(t, func(t *testing.T) {
			f := newFixture(t, "model", 8, streamingServer(1, 0))
			defer f.stop()
			f.views.publish(func(v *follower.View) {
				v.State.Evacuated = map[string]uint64{"lagos/c": 1}
				add := func(name, region, zone string, ready, leaving bool) {
					v.Fronts = append(v.Fronts, &wire.Process{Name: name, CallerAddress: name + ":1", Region: region, Zone: zone, Front: true, Ready: ready, Leaving: leaving})
				}
				add("evacuated", "lagos", "c", true, false)
				add("far", "abeokuta", "a", true, false)
				add("near", "lagos", "b", true, false)
				add("unready", "lagos", "a", false, false)
				add("leaving", "lagos", "a", true, true)
			})
			names := func(target string) (names []string) {
				caller := f.connect()
				defer func() { _ = caller.conn.Close() }()
				caller.send("GET", target, "r1", "", "")
				var nearest clientapi.NearestNodes
				if err := json.Unmarshal([]byte(caller.readResponse().body), &nearest); err != nil {
					f.t.Fatal(err)
				}
				for _, node := range nearest.Nodes {
					names = append(names, node.Name)
				}
				return names
			}
			f.checkEqual("from here", names("/v1/connect?service=chat"), []string{"n1", "near", "far", "evacuated"})
			f.checkEqual("from afar", names("/v1/connect?region=abeokuta&zone=a")[0], "far")
		})
	})
	Convey("What a sheet sets at run time holds for the next request", t, func() {
		inBubble(t, func(t *testing.T) {
			f := newFixture(t, "model", 8, streamingServer(1, 0), &fakeServer{refuseConnections: true}, &fakeServer{refuseConnections: true}, &fakeServer{refuseConnections: true})
			defer f.stop()
			caller := f.connect()
			caller.prompt("r1", time.Minute)
			f.checkEqual("before", caller.readResponse().status, 200)
			f.views.publish(func(v *follower.View) {
				next := *v.State.Sheet
				next.Settings = map[string]string{"deadline.max": "30s", "route.strategy": "round_robin"}
				v.State.Sheet = &next
			})
			synctest.Wait()
			caller.prompt("r2", time.Minute)
			f.checkEqual("after", caller.readResponse().code, apierror.BadDeadline)
			<-time.After(10 * time.Second)
			codes := map[apierror.Code]bool{}
			for range 4 {
				caller.prompt("r3", time.Second)
				codes[caller.readResponse().code] = true
				told, _ := f.front.Inspect("explain", "r3")
				f.checkEqual("attempts without a budget of retries", len(told.(*Explanation).Attempts), 1)
			}
			f.checkEqual("in turn, without retries", codes, map[apierror.Code]bool{0: true, apierror.StreamNotBegun: true})
		})
	})
	Convey("A request's way is told from the journal, the newest of an id", t, func() {
		inBubble(t, func(t *testing.T) {
			f := newFixture(t, "model", 8, &fakeServer{refuseConnections: true}, streamingServer(2, time.Second))
			defer f.stop()
			caller := f.connect()
			for range 2 {
				caller.prompt("r1", time.Minute)
				caller.readResponse()
			}
			value, found := f.front.Inspect("explain", "r1")
			f.checkEqual("found", found, true)
			told := value.(*Explanation)
			f.checkEqual("admission", []any{told.Admission.Tenant, told.Admission.Passed, told.Admission.Limit, told.Admission.Version, told.Admission.Plan, told.Admission.Tokens},
				[]any{"press", true, 810, 1, 7, 9})
			f.checkEqual("outcome", []any{told.Outcome.Name, told.Outcome.TookMS}, []any{"ok", 2000})
			last := told.Attempts[len(told.Attempts)-1]
			f.checkEqual("attempt", []any{last.Server, last.Ended, last.Events}, []any{"s1", "whole", 3})
			f.checkEqual("candidates", len(told.Routings[0].Candidates) > 0, true)
			_, found = f.front.Inspect("explain", "none")
			f.checkEqual("found", found, false)
		})
	})
}
