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
	Convey("Connect returns ready nodes, nearest first and evacuated ones last", t, func() {
		inBubble(t, func(t *testing.T) {
			f := newFixture(t, "model", 8, streamingServer(1, 0))
			defer f.stop()
			f.views.publish(func(v *follower.View) {
				v.State.Evacuated = map[string]uint64{"lagos/c": 1}
				addFront := func(name, region, zone string, ready, leaving bool) {
					v.Fronts = append(v.Fronts, &wire.Process{Name: name, CallerAddress: name + ":1", Region: region, Zone: zone, Front: true, Ready: ready, Leaving: leaving})
				}
				addFront("evacuated", "lagos", "c", true, false)
				addFront("far", "abeokuta", "a", true, false)
				addFront("near", "lagos", "b", true, false)
				addFront("unready", "lagos", "a", false, false)
				addFront("leaving", "lagos", "a", true, true)
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
			f.checkEqual("without a region", names("/v1/connect?service=chat"), []string{"n1", "near", "far", "evacuated"})
			f.checkEqual("first node for a caller in abeokuta", names("/v1/connect?region=abeokuta&zone=a")[0], "far")
		})
	})
	Convey("Run-time settings of a new sheet apply to the next request", t, func() {
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
				explanation, _ := f.front.Inspect("explain", "r3")
				f.checkEqual("attempts with an empty retry budget", len(explanation.(*Explanation).Attempts), 1)
			}
			f.checkEqual("codes with round robin and no retries", codes, map[apierror.Code]bool{0: true, apierror.StreamNotStarted: true})
		})
	})
	Convey("Inspect explains the latest request with an ID from the journal", t, func() {
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
			explanation := value.(*Explanation)
			f.checkEqual("admission", []any{explanation.Admission.Tenant, explanation.Admission.Allowed, explanation.Admission.Limit, explanation.Admission.Version, explanation.Admission.Plan, explanation.Admission.Tokens},
				[]any{"press", true, 810, 1, 7, 9})
			f.checkEqual("outcome", []any{explanation.Outcome.Name, explanation.Outcome.TookMS}, []any{"ok", 2000})
			last := explanation.Attempts[len(explanation.Attempts)-1]
			f.checkEqual("attempt", []any{last.Server, last.Result, last.Events}, []any{"s1", "whole", 3})
			f.checkEqual("candidates", len(explanation.Routings[0].Candidates) > 0, true)
			_, found = f.front.Inspect("explain", "none")
			f.checkEqual("found", found, false)
		})
	})
}
