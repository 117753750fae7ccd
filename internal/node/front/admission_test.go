package front

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/quota"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/node/follower"
)

func TestAdmissionOrder(t *testing.T) {
	Convey("Admission checks authority, API key, service and quota, in this order", t, func() {
		inBubble(t, func(t *testing.T) {
			f := newFixture(t, "model", 8, streamingServer(1, 0))
			defer f.stop()
			spent := []any{}
			f.admitter.decide = func(tenant string, tokens float64, allowance quota.Allowance) quota.Decision {
				spent = append(spent, tenant, tokens, allowance)
				return quota.Decision{Code: apierror.QuotaExceeded, RetryAfter: 3 * time.Second}
			}
			requestCode := func(target, body string) apierror.Code {
				caller := f.connect()
				defer func() { _ = caller.conn.Close() }()
				caller.send("POST", target, "r1", "", body)
				return caller.readResponse().code
			}
			f.checkEqual("service", requestCode("/v1/prompt", `{"service":"none","max_tokens":1}`), apierror.UnknownService)
			f.checkEqual("kind", requestCode("/v1/prompt", `{"service":"orders","max_tokens":1}`), apierror.WrongServiceKind)
			f.checkEqual("kind", requestCode("/v1/call/chat/", ``), apierror.WrongServiceKind)
			f.checkEqual("quota charges before the service is accepted", spent, []any{})
			f.checkEqual("quota", requestCode("/v1/prompt", `{"service":"chat","prefix_tokens":1,"session_tokens":2,"max_tokens":4}`), apierror.QuotaExceeded)
			f.checkEqual("quota", requestCode("/v1/call/orders/", ``), apierror.QuotaExceeded)
			f.checkEqual("quota charges", spent, []any{"press", 7, quota.Allowance{Rate: 100, Burst: 10}, "press", 5, quota.Allowance{Rate: 100, Burst: 10}})
			f.views.publish(withKeys("other"))
			f.checkEqual("key", requestCode("/v1/prompt", `{"service":"none","max_tokens":1}`), apierror.UnknownKey)
			f.views.hasAuthority.Store(false)
			f.checkEqual("authority", requestCode("/v1/prompt", `{}`), apierror.NoAuthority)
		})
	})
}

func TestRequestsBoundToAHomeRegion(t *testing.T) {
	for kind, target := range map[string]string{"model": "/v1/prompt", "web": "/v1/call/orders/"} {
		Convey("A request to a "+kind+" service with a home region is served there or rejected immediately", t, func() {
			inBubble(t, func(t *testing.T) {
				near, far := streamingServer(1, 0), streamingServer(1, 0)
				if kind == "web" {
					near = respondingServer("HTTP/1.1 200 OK\nStepwick-Request-Id: ID\nContent-Length: 0\n\n")
					far = near
				}
				f := newFixture(t, kind, 8, near, far)
				defer f.stop()
				f.views.publish(func(v *follower.View) {
					v.Servers = maps.Clone(v.Servers)
					v.Servers["s1"] = proto.CloneOf(v.Servers["s1"])
					v.Servers["s1"].Region = "abeokuta"
					next := *v.State.Sheet
					next.Tenants = map[string]sheet.Tenant{"press": {KeyHashes: []string{sheet.HashKey("k")}, HomeRegion: "abeokuta"}}
					next.Weights = map[string]map[string]float64{map[string]string{"model": "chat", "web": "orders"}[kind]: {"lagos": 1, "abeokuta": 1}}
					v.State.Version, v.State.Sheet = 2, &next
					v.Index = v.State.Index()
				})
				synctest.Wait()
				caller := f.connect()
				sendWithHome := func(home string) response {
					caller.send("POST", target, "r1", "", fmt.Sprintf(`{"service":"chat","max_tokens":1%s}`, home))
					return caller.readResponse()
				}
				for range 20 {
					f.checkEqual("answer", sendWithHome("").status, 200)
					explanation, _ := f.front.Inspect("explain", "r1")
					f.checkEqual("server", explanation.(*Explanation).Attempts[0].Server, "s1")
				}
				if kind == "model" {
					f.checkEqual("home field equal to the tenant's home region", sendWithHome(`,"home":"abeokuta"`).status, 200)
					f.checkEqual("home field with another region", sendWithHome(`,"home":"lagos"`).code, apierror.BadField)
				}
				f.views.publish(func(v *follower.View) { v.State.Version, v.State.Evacuated = 3, map[string]uint64{"abeokuta": 3} })
				synctest.Wait()
				runsBefore, began := near.runs("r1")+far.runs("r1"), time.Now()
				got := sendWithHome("")
				f.checkEqual("evacuated", []any{got.code, strings.Contains(got.body, "retry_after_ms"), time.Since(began)}, []any{apierror.NoServer, true, 0 * time.Second})
				f.checkEqual("runs", near.runs("r1")+far.runs("r1"), runsBefore)
				f.checkEqual("plan_short logged before the report interval", f.logged("plan_short"), false)
				<-time.After(2 * time.Second)
				f.checkEqual("events", []bool{f.logged("plan_taken"), f.logged("plan_short"), f.logged("plan_stale")}, []bool{true, true, true})
			})
		})
	}
}
