package compat

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// fillMessage sets every field of a message, recursively, to a sample value.
func fillMessage(message protoreflect.Message, depth int) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		switch {
		case field.IsMap():
			key := protoreflect.ValueOfString("key").MapKey()
			values := message.Mutable(field).Map()
			value := values.NewValue()
			if field.MapValue().Message() == nil {
				value = sampleScalar(field.MapValue())
			} else {
				fillMessage(value.Message(), depth+1)
			}
			values.Set(key, value)
		case field.IsList() && field.Message() != nil:
			fillMessage(message.Mutable(field).List().AppendMutable().Message(), depth+1)
		case field.IsList():
			message.Mutable(field).List().Append(sampleScalar(field))
		case field.Message() != nil:
			fillMessage(message.Mutable(field).Message(), depth+1)
		default:
			message.Set(field, sampleScalar(field))
		}
	}
}

// sampleScalar returns a value of the field's kind; numbers, strings and bytes are
// derived from the field number.
func sampleScalar(field protoreflect.FieldDescriptor) protoreflect.Value {
	number := int(field.Number())
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprint("text ", number))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte{byte(number)})
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(number) + 0.5)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(1)
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(int64(number))
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(uint64(number))
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(number))
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(number))
	}
	panic(fmt.Sprint("no sample value for protobuf kind ", field.Kind()))
}

func TestJSONValuesKeepTheirKeys(t *testing.T) {
	var out strings.Builder
	values := filledValues()
	for _, name := range slices.Sorted(maps.Keys(values)) {
		data, err := json.Marshal(values[name])
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s: %s\n", name, data)
	}
	sameAsFixture(t, out.String(), "json", "values.txt")
}

func TestErrorResponseKeepsStatusHeadersAndBody(t *testing.T) {
	recorder := httptest.NewRecorder()
	writeSampleError(recorder)
	var out strings.Builder
	fmt.Fprintf(&out, "%d\n", recorder.Code)
	for _, name := range slices.Sorted(maps.Keys(recorder.Header())) {
		fmt.Fprintf(&out, "%s: %s\n", name, strings.Join(recorder.Header()[name], ", "))
	}
	sameAsFixture(t, out.String()+recorder.Body.String(), "json", "refusal.txt")
}

func TestCommandLineKeepsExitCodes(t *testing.T) {
	sameAsFixture(t, exitList(), "json", "exits.txt")
}

func TestDataShowCommandKeepsItsOutput(t *testing.T) {
	var out strings.Builder
	for _, core := range []string{"a", "b", "c"} {
		text, exit := (*site)(nil).command("data", "show", filepath.Join("testdata", "stored", "cores", core), "--name", core, "-o", "json")
		fmt.Fprintf(&out, "%s[exit %d]\n", text, exit)
	}
	sameAsFixture(t, out.String(), "json", "data.txt")
}

// fakeServers returns a handler that acts as the platform, a model server and a web server.
func fakeServers() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/servers", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"servers":[
{"name":"m1","address":"127.0.3.1:80","kind":"model","services":["chat"],"region":"lagos","zone":"a","state":"ready"},
{"name":"w1","address":"127.0.3.2:80","kind":"web","services":["outage"],"region":"lagos","zone":"a","state":"ready"}]}`)
	})
	mux.HandleFunc("/v1/status", func(w http.ResponseWriter, r *http.Request) {
		name := map[string]string{"127.0.3.1:80": "m1", "127.0.3.2:80": "w1"}[r.Host]
		_, _ = fmt.Fprintf(w, `{"server":%q,"incarnation":1,"state":"ready","slots":16,"answered":1000,"tokens_per_second":800,"prefill_per_second":24000}`, name)
	})
	mux.HandleFunc("/v1/generate", func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Stepwick-Request-Id")
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Stepwick-Request-Id", id)
		_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"seq\":0,\"text\":\"t\"}\n\ndata: {\"id\":%q,\"final\":true,\"count\":1}\n\n", id, id)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Stepwick-Request-Id", r.Header.Get("Stepwick-Request-Id"))
		_, _ = io.WriteString(w, `{"ran":true}`)
	})
	return mux
}

// call sends a request with a request ID to the site's front and returns the status
// and the body, or 0 and the error text if the request fails.
func (s *site) call(t testing.TB, id, method, path, key, body string) (status int, text string) {
	t.Helper()
	req, err := http.NewRequestWithContext(s.ctx, method, "http://"+frontAddress+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Stepwick-Request-Id", id)
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// waitForResponse polls path for up to a minute of virtual time until the response
// has the status and contains the text.
func (s *site) waitForResponse(t testing.TB, path, key string, status int, text string) {
	t.Helper()
	for range 600 {
		got, body := s.call(t, "poll", "GET", path, key, "")
		if got == status && strings.Contains(body, text) {
			return
		}
		<-time.After(100 * time.Millisecond)
	}
	got, body := s.call(t, "poll", "GET", path, key, "")
	t.Fatalf("GET %s still returns status %d, body %s after a minute", path, got, body)
}

// collectPaths adds the path and type of each leaf of a JSON value to a set. Map keys
// such as server and tenant names are part of the paths.
func collectPaths(set map[string]bool, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, member := range v {
			collectPaths(set, path+"."+name, member)
		}
		if len(v) == 0 {
			set[path+" {}"] = true
		}
	case []any:
		for _, item := range v {
			collectPaths(set, path+"[]", item)
		}
		if len(v) == 0 {
			set[path+" []"] = true
		}
	case string:
		set[path+" string"] = true
	case float64:
		set[path+" number"] = true
	case bool:
		set[path+" bool"] = true
	case nil:
		set[path+" null"] = true
	}
}

// describeShape returns the title and the sorted paths and types of a JSON text.
func describeShape(t testing.TB, title, text string) string {
	t.Helper()
	var value any
	if err := json.Unmarshal([]byte(text), &value); err != nil {
		t.Fatalf("%s: cannot parse response: %v in %s", title, err, text)
	}
	set := map[string]bool{}
	collectPaths(set, "", value)
	return "=== " + title + "\n" + strings.Join(slices.Sorted(maps.Keys(set)), "\n") + "\n"
}

// TestNodeResponsesKeepTheirKeys guards the JSON that other programs read: it calls the
// operator and caller APIs of running nodes and each command that prints JSON.
func TestNodeResponsesKeepTheirKeys(t *testing.T) {
	var out strings.Builder
	sheetPath := sheetFile(t)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := startSite(ctx, t, fakeServers())
		s.waitForResponse(t, "/v1/control/status", operatorKey, 200, `"confirmed":2`)
		if text, exit := s.command("sheet", "import", sheetPath, "--base", "0"); exit != 0 {
			t.Fatal(text)
		}
		s.waitForResponse(t, "/readyz", "", 200, "true")
		s.waitForResponse(t, "/v1/control/plan", operatorKey, 200, "m1")
		s.waitForResponse(t, "/v1/control/status", operatorKey, 200, `"w1":"ready"`)
		recordShape := func(method, path, key, body string) string {
			status, text := s.call(t, "r-2", method, path, key, body)
			out.WriteString(describeShape(t, fmt.Sprintf("%s %s %s gives %d", method, path, body, status), text))
			return text
		}
		recordShape("GET", "/v1/connect?service=chat", callerKey, "")
		status, stream := s.call(t, "r-1", "POST", "/v1/prompt", callerKey, `{"service":"chat","prefix":"p","max_tokens":7}`)
		fmt.Fprintf(&out, "=== POST /v1/prompt gives %d\n%s", status, stream)
		recordShape("POST", "/v1/prompt", callerKey, `{"service":"chta","max_tokens":7}`)
		recordShape("POST", "/v1/call/outage/areas/7", callerKey, "{}")
		recordShape("GET", "/readyz", "", "")
		<-time.After(3 * time.Second)
		for _, path := range []string{"sheet", "history", "status", "plan", "tally", "tally?tenant=press", "explain/r-1", "explain/none"} {
			recordShape("GET", "/v1/control/"+path, operatorKey, "")
		}
		recordShape("POST", "/v1/control/evacuate", operatorKey, `{"order_id":"out","locality":"lagos/b"}`)
		recordShape("POST", "/v1/control/restore", operatorKey, `{"order_id":"back","locality":"lagos/b"}`)
		recordShape("PATCH", "/v1/control/sheet", operatorKey, `{"order_id":"late","base":1,"changes":[{"path":"tenants.press.rate","value":2}]}`)
		recordShape("GET", "/v1/control/sheet", "nobody", "")
		for _, line := range []string{"status -o json", "plan -o json", "tally -o json", "explain r-1 -o json", "sheet get -o json",
			"sheet history -o json", "settings list -o json"} {
			text, exit := s.command(strings.Fields(line)...)
			out.WriteString(describeShape(t, fmt.Sprintf("stepwick %s exits %d", line, exit), text))
		}
		_, metrics := s.call(t, "r-3", "GET", "/metrics", "", "")
		out.WriteString("=== GET /metrics\n" + ownMetrics(metrics))
		cancel()
		<-time.After(time.Minute)
	})
	sameAsFixture(t, out.String(), "json", "answers.txt")
}

// ownMetrics returns the HELP and TYPE lines of the stepwick_ metrics and the bucket
// bounds of their histograms.
func ownMetrics(text string) string {
	var own strings.Builder
	for row := range strings.Lines(text) {
		series, _, _ := strings.Cut(row, "} ")
		switch {
		case strings.HasPrefix(row, "# ") && strings.Contains(row, " stepwick_"):
			own.WriteString(row)
		case strings.HasPrefix(row, "stepwick_") && strings.Contains(series, "_bucket{"):
			own.WriteString(series + "}\n")
		}
	}
	return own.String()
}
