package controlapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// fakeCores implements OrderClient and Inspector with one state in memory. It is used
// by one goroutine.
type fakeCores struct {
	state        statemachine.State
	pending      bool
	unresponsive bool
	requests     []*wire.OrderRequest
}

func (c *fakeCores) Order(ctx context.Context, req *wire.OrderRequest) (*wire.OrderResponse, error) {
	c.requests = append(c.requests, req)
	if c.unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	switch req.Verb {
	case "get":
		return responseOf(apierror.OK, map[string]any{"epoch": c.state.Version, "sheet_epoch": c.state.SheetVersion, "sheet": c.state.Sheet}), nil
	case "history":
		return nil, apierror.Errorf(apierror.NoMajority, "1 of 3 cores answered").WithRetryAfter(1500 * time.Millisecond)
	case "status":
		return responseOf(apierror.OK, map[string]any{"epoch": c.state.Version, "in_force": true}), nil
	}
	command, apiErr := statemachine.ParseOrder(req.Verb, req.Operator, req.Body, statemachine.OrderLimits{MaxBytes: 1 << 20}, 1790000000000)
	if apiErr != nil {
		return responseOf(apiErr.Code, apiErr.Body("")), nil
	}
	order, _ := statemachine.OrderOf(command)
	result, sure := c.state.Predict(command)
	if !sure {
		c.state, result = c.state.Step(c.state.Version+1, statemachine.Encode(command))
	}
	if apiErr := result.APIError(); apiErr != nil {
		body := apiErr.Body("")
		body.Version = result.Version
		return responseOf(apiErr.Code, body), nil
	}
	if c.pending {
		c.pending = false
		return nil, apierror.Errorf(apierror.OutcomePending, "waiting for front-4").WithRetryAfter(time.Second)
	}
	return responseOf(apierror.OK, map[string]any{"epoch": result.Version, "sheet_epoch": result.SheetVersion, "in_force": true, "order_id": order.OrderID}), nil
}

func (c *fakeCores) Inspect(_ context.Context, verb, argument string) (apierror.Code, []byte) {
	if argument == "nobody" {
		return apierror.NotFound, nil
	}
	return apierror.OK, []byte(fmt.Sprintf(`{"asked":%q,"argument":%q}`, verb, argument))
}

func responseOf(code apierror.Code, body any) *wire.OrderResponse {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return &wire.OrderResponse{Code: uint32(code), Body: data}
}

func startServer(t *testing.T, c *fakeCores, config Config) *httptest.Server {
	ids := 0
	config.NodeName, config.NewOrderID = "front-1", func() string { ids++; return fmt.Sprintf("made-%d", ids) }
	config.Operators = []string{"ada:" + sheet.HashKey("ada's key"), "bola:" + sheet.HashKey("bola's key")}
	config.ValidateSetting = func(name, _ string) error {
		if name != "route.strategy" {
			return fmt.Errorf("no such setting")
		}
		return nil
	}
	server := httptest.NewServer(New(config, c, c, clock.System(), events.Discard))
	t.Cleanup(server.Close)
	return server
}

// clientResponse is what a client sees of a response.
type clientResponse struct {
	status int
	header http.Header
	text   string
}

func sendCall(server *httptest.Server, operatorName, method, path, body string) clientResponse {
	req, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	if operatorName != "" {
		req.Header.Set("Authorization", "Bearer "+operatorName+"'s key")
	}
	resp, err := server.Client().Do(req)
	if err != nil {
		panic(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(err)
	}
	return clientResponse{status: resp.StatusCode, header: resp.Header, text: strings.TrimSpace(string(data))}
}

const firstSheet = `{"services":{"chat":{"kind":"model"}},"weights":{"chat":{"lagos":60,"abeokuta":40}},"tenants":{"press":{"rate":1000}}}`

func TestExchangeTranscript(t *testing.T) {
	cores := &fakeCores{}
	server := startServer(t, cores, Config{MaxSheetBytes: 600})
	var out bytes.Buffer
	record := func(operatorName, method, path, body string) {
		got := sendCall(server, operatorName, method, path, body)
		fmt.Fprintf(&out, "%s: %s %s %s\n%d %s", operatorName, method, path, body, got.status, got.text)
		for _, name := range []string{"Retry-After", "Allow"} {
			if value := got.header.Get(name); value != "" {
				fmt.Fprintf(&out, " %s: %s", name, value)
			}
		}
		fmt.Fprint(&out, "\n\n")
	}
	record("ada", "PUT", "/v1/control/sheet", `{"order_id":"first","base":0,"sheet":`+firstSheet+`}`)
	record("ada", "GET", "/v1/control/sheet", "")
	record("ada", "PATCH", "/v1/control/sheet", `{"base":1,"changes":[{"path":"weights.chat.lagos","value":50}]}`)
	record("bola", "PATCH", "/v1/control/sheet", `{"base":1,"changes":[{"path":"weights.chat.lagos","value":55}]}`)
	cores.pending = true
	record("bola", "PATCH", "/v1/control/sheet", `{"base":2,"changes":[{"path":"weights.chat.lagos","value":55}]}`)
	record("bola", "PATCH", "/v1/control/sheet", `{"base":2,"changes":[{"path":"weights.chat.lagos","value":55}]}`)
	for _, verb := range []string{"evacuate", "evacuate", "restore", "evacuate"} {
		record("ada", "POST", "/v1/control/"+verb, `{"locality":"lagos/a"}`)
	}
	record("ada", "POST", "/v1/control/evacuate", `{"order_id":"again","locality":"lagos/b"}`)
	record("ada", "POST", "/v1/control/evacuate", `{"order_id":"again","locality":"lagos/b"}`)
	record("ada", "POST", "/v1/control/evacuate", `{"order_id":"again","locality":"lagos/c"}`)
	record("ada", "POST", "/v1/control/members/remove", `{"names":["front-9"]}`)
	record("ada", "GET", "/v1/control/history", "")
	record("ada", "GET", "/v1/control/status", "")
	record("ada", "GET", "/v1/control/tally?tenant=press", "")
	record("ada", "GET", "/v1/control/explain/sw-1", "")
	forwardedCount := len(cores.requests)

	record("", "GET", "/v1/control/sheet", "")
	record("eve", "GET", "/v1/control/sheet", "")
	record("ada", "GET", "/v1/control/explain/nobody", "")
	record("ada", "GET", "/v1/control/explain/a/b", "")
	record("ada", "GET", "/v1/control/tally?tenants=press", "")
	record("ada", "GET", "/v1/control/sheets", "")
	record("ada", "POST", "/v1/control/sheet", "{}")
	record("ada", "PUT", "/v1/control/sheet", `{"base":3,"sheet":{"services":{"chat":{"kind":"model"}},"weights":{"chat":{"lagos":-5}}}}`)
	record("ada", "PUT", "/v1/control/sheet", `{"base":3,"sheet":{"services":{},"plans":{}}}`)
	record("ada", "PUT", "/v1/control/sheet", `{"base":3,"sheet":`+firstSheet)
	record("ada", "PUT", "/v1/control/sheet", `{"base":3,"sheet":`+firstSheet+strings.Repeat(" ", 600)+`}`)
	record("ada", "PATCH", "/v1/control/sheet", `{"base":3,"changes":[{"path":"settings.log.levle","value":"debug"}]}`)
	record("ada", "PATCH", "/v1/control/sheet", `{"base":3,"base":4,"changes":[]}`)
	record("ada", "PATCH", "/v1/control/sheet", `{"changes":[]}`)
	record("ada", "POST", "/v1/control/evacuate", `{"zone":"lagos/a"}`)
	if len(cores.requests) != forwardedCount {
		t.Errorf("%d calls that the API should have rejected were forwarded to a core", len(cores.requests)-forwardedCount)
	}
	goldie.New(t).Assert(t, "exchange", out.Bytes())
}

func TestCallsAreBoundedAndDeclaredOnce(t *testing.T) {
	Convey("Every call is declared once, with help, verb and handler", t, func() {
		seen := map[string]bool{}
		for _, call := range Calls() {
			So(seen[call.Method+call.Path], ShouldBeFalse)
			seen[call.Method+call.Path] = true
			So(call.Help, ShouldEndWith, ".")
			So(call.Verb, ShouldNotBeEmpty)
			So(call.handle, ShouldNotBeNil)
		}
	})
	Convey("A body that is too large is rejected, with or without a declared length", t, func() {
		server := startServer(t, &fakeCores{}, Config{MaxSheetBytes: 100})
		text := sendCall(server, "ada", "PUT", "/v1/control/sheet", strings.Repeat(" ", 101)).text
		So(text, ShouldContainSubstring, `"code":4004`)
		req, _ := http.NewRequest("POST", server.URL+"/v1/control/evacuate", io.MultiReader(strings.NewReader("{"), strings.NewReader(strings.Repeat(" ", maxOrderBytes))))
		req.Header.Set("Authorization", "Bearer ada's key")
		resp, err := server.Client().Do(req)
		So(err, ShouldBeNil)
		defer resp.Body.Close()
		So(resp.StatusCode, ShouldEqual, http.StatusRequestEntityTooLarge)
		text = sendCall(server, "ada", "GET", "/v1/control/sheet", "{}").text
		So(text, ShouldContainSubstring, `"code":1014`)
	})
	Convey("A slow body times out", t, func() {
		server := startServer(t, &fakeCores{}, Config{BodyTimeout: 50 * time.Millisecond})
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "PUT /v1/control/sheet HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ada's key\r\nContent-Length: 100\r\n\r\n{")
		So(err, ShouldBeNil)
		received, err := io.ReadAll(conn)
		So(err, ShouldBeNil)
		So(string(received), ShouldStartWith, "HTTP/1.1 408")
		So(string(received), ShouldContainSubstring, `"code":1012`)
	})
	Convey("An order that no core answers is reported as pending with its id, a read as no_majority", t, func() {
		server := startServer(t, &fakeCores{unresponsive: true}, Config{OrderTimeout: 30 * time.Millisecond})
		text := sendCall(server, "ada", "POST", "/v1/control/evacuate", `{"locality":"lagos"}`).text
		So(text, ShouldContainSubstring, `"code":4002`)
		So(text, ShouldContainSubstring, `"order_id":"made-1"`)
		text = sendCall(server, "ada", "GET", "/v1/control/sheet", "").text
		So(text, ShouldContainSubstring, `"code":5001`)
		text = sendCall(server, "ada", "GET", "/v1/control/status", "").text
		So(text, ShouldContainSubstring, `"node":{"asked":"status"`)
		So(text, ShouldContainSubstring, `"fleet_fault":{"code":5001`)
	})
	Convey("Orders beyond the limit are rejected with a time to retry", t, func() {
		cores := &fakeCores{unresponsive: true}
		api := New(Config{Operators: []string{"ada:" + sheet.HashKey("ada's key")}, MaxOrders: 1}, cores, cores, clock.System(), events.Discard)
		api.orderSlots <- struct{}{}
		server := httptest.NewServer(api)
		defer server.Close()
		got := sendCall(server, "ada", "POST", "/v1/control/evacuate", `{"locality":"lagos"}`)
		So(got.text, ShouldContainSubstring, `"code":2003`)
		So(got.header.Get("Retry-After"), ShouldEqual, "1")
	})
	Convey("New panics on a malformed operator entry", t, func() {
		So(func() { New(Config{Operators: []string{"ada:abc"}}, nil, nil, clock.System(), events.Discard) }, ShouldPanic)
	})
}
