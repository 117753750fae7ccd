package compat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/apierror"
	"stepwick/internal/cli"
	"stepwick/internal/clock"
	"stepwick/internal/decision/quota"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/node"
	"stepwick/internal/node/follower"
	"stepwick/internal/node/front"
	"stepwick/internal/node/replica"
	"stepwick/internal/settings"
	"stepwick/internal/wire"
	"stepwick/sim/memnet"
)

const (
	operatorKey  = "the operator's key"
	callerKey    = "the caller's key"
	coreAddress  = "127.0.2.1:7000"
	frontAddress = "127.0.2.2:7000"
)

// keyHash returns the hash of a key as stored in sheets and settings.
func keyHash(key string) string { return sheet.HashKey(key) }

// site is a core, a front, a model server, a web server and a platform on an
// in-memory network.
type site struct {
	net    *memnet.Network
	ctx    context.Context
	client *http.Client
}

// startSite starts a site that runs until ctx is cancelled. It must run in a synctest bubble.
func startSite(ctx context.Context, t testing.TB, servers http.Handler) *site {
	t.Helper()
	s := &site{net: memnet.New(ctx), ctx: ctx}
	s.client = &http.Client{Transport: &http.Transport{DialContext: s.net.Dialer("127.0.4.1"), DisableKeepAlives: true}}
	server := &http.Server{Handler: servers}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	for _, address := range []string{"127.0.3.1:80", "127.0.3.2:80"} {
		listener, err := s.net.Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = server.Serve(listener) }()
	}
	s.run(t, "core", "n1", "127.0.2.1", "core.voters: 1\ncore.first: true\ndata: "+t.TempDir()+"\n")
	s.run(t, "front", "n2", "127.0.2.2", "")
	return s
}

// run starts a node on the site with additional settings.
func (s *site) run(t testing.TB, role, name, host, extraSettings string) {
	t.Helper()
	text := fmt.Sprintf("name: %s\nregion: lagos\nzone: a\nlisten: {caller: %s:7000, internal: %s:7001}\nseeds: 127.0.2.1:7001,127.0.2.2:7001\n"+
		"platform.url: http://127.0.3.1:80/servers\nfleet.secret: a secret of the fleet\noperator.keys: ada:%s\ndrain.grace: 1s\n%s",
		name, host, host, keyHash(operatorKey), extraSettings)
	values, problems := settings.Read("site", []byte(text), nil, role)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	environment := node.Environment{Clock: clock.System(), Listen: s.net.Listen, Dial: s.net.Dialer(host)}
	go func() { _ = node.RunIn(s.ctx, environment, role, values, events.Discard) }()
}

// command runs a command line against the site and returns its output and exit code.
// A nil site is enough for commands that send no request.
func (s *site) command(args ...string) (output string, exit int) {
	var out bytes.Buffer
	env := map[string]string{"STEPWICK_OPERATOR_KEY": operatorKey, "STEPWICK_NODE": frontAddress}
	app := &cli.App{Out: &out, Err: &out, In: strings.NewReader(""), Env: func(name string) string { return env[name] },
		Clock: clock.System(), NewID: func() string { return "made" }}
	ctx := context.Background()
	if s != nil {
		app.Transport, ctx = s.client.Transport, s.ctx
	}
	exit = app.Main(ctx, args)
	return out.String(), exit
}

// exitList returns one line for each result code with the exit code that the
// command line gives for it.
func exitList() string {
	var out strings.Builder
	for _, row := range apierror.Codes {
		fmt.Fprintf(&out, "%d exits %d\n", row.Code, cli.ExitCode(row.Code))
	}
	return out.String()
}

// filledValues returns the values that other programs read as JSON, keyed by name, with
// every field set.
func filledValues() map[string]any {
	at := time.UnixMilli(orderedAtMS).UTC()
	apiErr := apierror.Errorf(apierror.QuotaExceeded, "press has 24000 tokens in a window").WithRetryAfter(8531 * time.Millisecond)
	body := apiErr.Body("r-3")
	body.Version = 17
	plan := &wire.Plan{}
	fillMessage(plan.ProtoReflect(), 0)
	return map[string]any{
		"error":       body,
		"error least": apierror.Errorf(apierror.OperatorUnknown, "").Body(""),
		"connect":     clientapi.NearestNodes{RequestID: "r-1", Service: "chat", Region: "lagos", Nodes: []clientapi.Node{{Name: "n1", Address: coreAddress, Region: "lagos", Zone: "a"}}},
		"plan":        plan,
		"tally": []quota.TenantUsage{{Tenant: "press", Limit: 12000, Estimate: 5200.5, Recent: 5100, Own: 700, Share: 900, Reserved: 1,
			OverLimit: true, Owner: "n1", Age: 120 * time.Millisecond}},
		"explain": front.Explanation{RequestID: "r-1", Front: "n2", AtMS: at.UnixMilli(),
			Admission: &front.Admission{Service: "chat", Tenant: "press", Region: "lagos", Home: "lagos", Version: 21, PlanTerm: 2, Plan: 44,
				Tokens: 700, Allowed: true, Estimate: 5200, Previous: 6000, Current: 2200, Recent: 5100, Limit: 12000, OverLimit: true, Error: "2001 quota_exceeded"},
			Routings: []*front.Routing{{Server: "m1", Region: "lagos", Error: "2009 budget_spent", WaitedMS: 0.5,
				Candidates: []front.Candidate{{Server: "m1", Score: 0.81, Excluded: "draining"}}}},
			Attempts: []*front.Attempt{{Server: "m1", Result: "whole", Detail: "said so", Events: 40, FirstEventMS: 310.25, TookMS: 900}},
			Outcome:  &front.Outcome{Code: apierror.StreamAborted, Name: "stream_cut", Detail: "the server went away", TookMS: 903.25}},
		"node": follower.Status{Name: "n2", Zone: "lagos/a", Version: 21, SheetVersion: 20, HasAuthority: true, AuthoritySource: "lease", Plan: 44, PlanTerm: 2,
			PlanHolder: "n1", Servers: map[string]string{"m1": "ready"}, Roster: []string{"n1", "n2"}, Fronts: []string{"n1"}, FleetTimeMS: orderedAtMS},
		"data": replica.Contents{Core: "a", Formation: "a-1", Voters: []string{"a"}, Standing: "voting", DiskIncarnation: 1, Version: 2,
			SheetVersion: 3, Revision: 4, Members: 5, OpenSlots: 6, SnapshotVersion: 7, Segments: 8, Records: 9, TornSegment: "1.log", TornBytes: 10, BadSnapshot: "2.snap"},
		"history": statemachine.Record{Version: 1, SheetVersion: 2, Operator: "ada", Verb: "put", OrderID: "first", Digest: "d", ReceivedAtMS: orderedAtMS, Summary: "1 services"},
		"member":  statemachine.Member{Name: "n1", Region: "lagos", Zone: "a", Core: true, Front: true},
		"duty":    statemachine.RoleTerm{Term: 1, Holder: "n1"},
	}
}

// writeSampleError writes an error response with a retry delay, as sent to a client.
func writeSampleError(w http.ResponseWriter) {
	apierror.WriteError(w, apierror.Errorf(apierror.QuotaExceeded, "the <allowance> is spent").WithRetryAfter(8531*time.Millisecond), "r-3")
}

// sheetFile writes a sheet for the site and returns its path.
func sheetFile(t testing.TB) string {
	t.Helper()
	data, err := json.Marshal(map[string]any{
		"services": map[string]any{"chat": map[string]any{"kind": "model"}, "outage": map[string]any{"kind": "web"}},
		"weights":  map[string]any{"chat": map[string]any{"lagos": 1}, "outage": map[string]any{"lagos": 1}},
		"tenants":  map[string]any{"press": map[string]any{"rate": 1000, "burst": 4000, "keys": []string{keyHash(callerKey)}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "sheet.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
