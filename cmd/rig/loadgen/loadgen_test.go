package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/cmd/rig/checker"
	"stepwick/cmd/rig/emulator"
	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
)

// newForwardingFront returns a front that forwards its servers' answers unchecked.
func newForwardingFront(model *emulator.ModelServer, web *emulator.WebServer) http.Handler {
	mux := http.NewServeMux()
	forward := func(w http.ResponseWriter, r *http.Request, url string, body io.Reader) {
		req, _ := http.NewRequest(r.Method, url, body)
		req.Header.Set("Stepwick-Request-Id", r.Header.Get("Stepwick-Request-Id"))
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			w.Header().Set("Stepwick-Code", "3002")
			w.WriteHeader(http.StatusBadGateway)
			_, _ = fmt.Fprint(w, `{"code":3002,"retry":"check"}`)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		for _, name := range []string{"Content-Type", "Stepwick-Request-Id", "Content-Length"} {
			if v := resp.Header.Get(name); v != "" {
				w.Header().Set(name, v)
			}
		}
		w.WriteHeader(resp.StatusCode)
		if _, err := io.Copy(w, resp.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	mux.HandleFunc("POST /v1/prompt", func(w http.ResponseWriter, r *http.Request) {
		forward(w, r, "http://"+model.Address+"/v1/generate", r.Body)
	})
	mux.HandleFunc("/v1/call/{service}/{path...}", func(w http.ResponseWriter, r *http.Request) {
		forward(w, r, "http://"+web.Address+"/"+r.PathValue("path")+"?"+r.URL.RawQuery, r.Body)
	})
	return mux
}

type harness struct {
	recorder *history.Recorder
	callers  *Callers
	model    *emulator.ModelServer
	web      *emulator.WebServer
	front    *httptest.Server
}

func newHarness() *harness {
	recorder := history.NewRecorder(3)
	spec := fleet.Spec{Nodes: []fleet.NodeSpec{{Name: "front1", Location: fleet.Location{Region: "lagos", Zone: "a"}}}, ModelSpec: emulator.TypicalModelSpec()}
	spec.ModelSpec.Tick = time.Millisecond
	f, err := fleet.New(spec, "", "", recorder, 3)
	So(err, ShouldBeNil)
	s := &harness{recorder: recorder, model: emulator.NewModelServer("model1", "127.0.0.1:0", nil, spec.ModelSpec, recorder, 3), web: emulator.NewWebServer("web1", "127.0.0.1:0", nil, recorder, 3)}
	s.model.Address, s.web.Address = freeAddress(), freeAddress()
	So(s.model.Start(), ShouldBeNil)
	So(s.web.Start(), ShouldBeNil)
	s.front = httptest.NewServer(newForwardingFront(s.model, s.web))
	f.Nodes[0].CallerAddress = strings.TrimPrefix(s.front.URL, "http://")
	s.callers = NewCallers(f, FirstTenants(), 3)
	Reset(func() {
		s.front.Close()
		s.model.Close()
		s.web.Close()
		s.callers.Close()
		recorder.Close()
	})
	return s
}

func freeAddress() string {
	s := httptest.NewServer(nil)
	defer s.Close()
	return strings.TrimPrefix(s.URL, "http://")
}

func (s *harness) call(tenant string) history.Attempt {
	for _, t := range FirstTenants() {
		if t.Name == tenant {
			t.Deadline = 3 * time.Second
			return s.callers.Do(context.Background(), Call{Tenant: t, Location: fleet.Location{Region: "lagos", Zone: "a"}, BehaviorDraw: 0.5})
		}
	}
	return history.Attempt{}
}

func (s *harness) violations() map[string]bool {
	names := map[string]bool{}
	recording := s.recorder.Snapshot()
	for _, violation := range checker.Check(&recording) {
		names[violation.Rule] = true
	}
	return names
}

func TestCallers(t *testing.T) {
	Convey("Through a front that forwards everything", t, func() {
		s := newHarness()
		Convey("servers without faults give complete answers and no violations", func() {
			for _, tenant := range []string{"press", "press", "grid", "crews"} {
				So(s.call(tenant).Outcome, ShouldEqual, history.Served)
			}
			So(s.violations(), ShouldBeEmpty)
			hits, prompts, _ := s.model.CacheStats()
			So([]int{hits, prompts}, ShouldResemble, []int{1, 2})
		})
		for fault, rule := range map[emulator.Fault]string{emulator.EarlyEnd: "stream", emulator.DroppedEvent: "stream", emulator.DuplicatedEvent: "stream", emulator.WrongID: "stream"} {
			Convey("a model server's "+string(fault)+" is found by the checker", func() {
				s.model.SetFaultOdds(emulator.FaultOdds{fault: 1})
				s.call("press")
				So(s.violations()[rule], ShouldBeTrue)
			})
		}
		Convey("an aborted stream does not appear complete", func() {
			s.model.SetFaultOdds(emulator.FaultOdds{emulator.AbortedStream: 1})
			So(s.call("press").Outcome, ShouldBeIn, history.ConnectionBroken, history.EndedByError, history.Malformed)
			So(s.violations(), ShouldBeEmpty)
		})
		Convey("a crossed body is found by the checker", func() {
			s.call("grid")
			s.web.SetFaultOdds(emulator.FaultOdds{emulator.CrossedBody: 1})
			s.call("crews")
			So(s.violations()["body"], ShouldBeTrue)
		})
		Convey("a truncated body does not count as served", func() {
			s.web.SetFaultOdds(emulator.FaultOdds{emulator.TruncatedBody: 1})
			So(s.call("grid").Outcome, ShouldNotEqual, history.Served)
			So(s.violations(), ShouldBeEmpty)
		})
		Convey("a call resent by the front's transport over a kept-alive connection is found by the checker", func() {
			s.call("grid")
			s.web.SetFaultOdds(emulator.FaultOdds{emulator.ResetAfterRun: 1})
			s.call("grid")
			So(s.violations()["once"], ShouldBeTrue)
		})
		Convey("a call to a front that is down counts as unsent", func() {
			s.front.Close()
			So(s.call("grid").Outcome, ShouldEqual, history.Unsent)
		})
	})
}

func TestPlatform(t *testing.T) {
	Convey("The platform lists servers by name and records each change", t, func() {
		recorder := history.NewRecorder(1)
		p := emulator.NewPlatform(freeAddress(), recorder)
		So(p.Start(), ShouldBeNil)
		Reset(func() { p.Close(); recorder.Close() })
		p.PutServer(emulator.ListedServer{Name: "b", Region: "lagos", Zone: "a", State: "ready"})
		p.PutServer(emulator.ListedServer{Name: "a", Region: "lagos", Zone: "a", State: "cold"})
		p.SetState("b", "draining", 0)
		resp, err := http.Get("http://" + p.Address + "/servers")
		So(err, ShouldBeNil)
		defer func() { _ = resp.Body.Close() }()
		var body struct{ Servers []emulator.ListedServer }
		So(json.NewDecoder(resp.Body).Decode(&body), ShouldBeNil)
		So(body.Servers[0].Name+body.Servers[1].State, ShouldEqual, "adraining")
		So(len(recorder.Snapshot().ListingChanges), ShouldEqual, 3)
	})
}
