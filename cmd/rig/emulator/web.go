package emulator

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/owner"
	"stepwick/internal/apierror"
	"stepwick/internal/clock"
)

type webState struct {
	odds        Odds
	random      *rand.Rand
	listener    net.Listener
	server      *http.Server
	incarnation uint64
	serial      int
	running     int
	answered    int
	last        string
	dark        bool
	drain       bool
}

// Web is a small web server that runs any method on any path.
type Web struct {
	Name     string
	Address  string
	Services []string
	book     *history.Recorder
	state    *owner.Owner[webState]
}

// NewWeb returns a web server that is down.
func NewWeb(name, address string, services []string, book *history.Recorder, seed uint64) *Web {
	return &Web{Name: name, Address: address, Services: services, book: book,
		state: owner.New(webState{odds: Odds{}, random: rand.New(rand.NewPCG(seed, 23))})}
}

// Start brings the server up.
func (w *Web) Start() error {
	var err error
	w.state.Do(func(s *webState) {
		if s.listener != nil {
			return
		}
		l, lerr := net.Listen("tcp4", w.Address)
		if lerr != nil {
			err = errors.Wrap(lerr, w.Name)
			return
		}
		s.incarnation, s.answered, s.running = uint64(clock.System().Now().UnixNano()), 0, 0
		s.listener, s.server = l, &http.Server{Handler: http.HandlerFunc(w.handle), ReadHeaderTimeout: 10 * time.Second}
		go s.server.Serve(l)
	})
	return err
}

// Warm lets the server count as one that has answered many requests.
func (w *Web) Warm() { w.state.Do(func(s *webState) { s.answered = max(s.answered, 1000) }) }

// Crash ends the server at once; its connections break.
func (w *Web) Crash() {
	w.state.Do(func(s *webState) {
		if s.listener == nil {
			return
		}
		s.listener.Close()
		s.server.Close()
		s.listener = nil
	})
}

// Close ends the server for good.
func (w *Web) Close() { w.Crash(); w.state.Close() }

// Dark makes the server keep its connections and do nothing.
func (w *Web) Dark(dark bool) { w.state.Do(func(s *webState) { s.dark = dark }) }

// Drain makes the server report that it drains.
func (w *Web) Drain(drain bool) { w.state.Do(func(s *webState) { s.drain = drain }) }

// Odds replaces the odds of faults.
func (w *Web) Odds(odds Odds) { w.state.Do(func(s *webState) { s.odds = odds }) }

// Body is the answer to a token: the token, padding and a digest over both.
func Body(token string, padding int) string {
	text := token + " " + strings.Repeat("o", padding)
	return text + " " + strconv.FormatUint(xxhash.Sum64String(text), 16)
}

// CheckBody returns the token of a whole body.
func CheckBody(body string) (token string, whole bool) {
	at := strings.LastIndexByte(body, ' ')
	if at < 0 {
		return "", false
	}
	token, _, _ = strings.Cut(body, " ")
	return token, strconv.FormatUint(xxhash.Sum64String(body[:at]), 16) == body[at+1:]
}

func (w *Web) handle(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/status" {
		w.status(out, r)
		return
	}
	fault, pad, dark := "", 0, false
	w.state.Do(func(s *webState) { fault, pad, dark = s.draw(), 40+s.random.IntN(3000), s.dark })
	if fault == ResetEarly {
		cut(out)
		return
	}
	text, _ := io.ReadAll(io.LimitReader(r.Body, 2<<20))
	token := Token(r.URL.RawQuery)
	if token == "" {
		token = Token(string(text))
	}
	if dark {
		<-r.Context().Done()
		return
	}
	id := r.Header.Get("Stepwick-Request-Id")
	run := history.Run{Server: w.Name, Kind: "web", Token: token, Request: id, Arrived: w.book.Now(), Fault: fault}
	previous := ""
	w.state.Do(func(s *webState) {
		s.serial++
		s.running++
		run.ID = fmt.Sprintf("%s-%d-%d", w.Name, s.incarnation%1e9, s.serial)
		run.InFlight, run.Answered = s.running, s.answered
		run.Ran = fault != ResetRead && fault != Busy
		previous, s.last = s.last, token
	})
	w.book.PutRun(run)
	defer w.state.Post(func(s *webState) { s.running--; s.answered++ })
	body := Body(token, pad)
	switch fault {
	case ResetRead, ResetRan:
		cut(out)
		return
	case Busy:
		out.Header().Set("Content-Type", "application/json")
		out.Header().Set("Stepwick-Request-Id", id)
		out.WriteHeader(http.StatusServiceUnavailable)
		_, _ = out.Write([]byte(`{"code":"busy"}`))
		return
	case WrongID:
		id = "x" + id
	case Slow:
		owner.Sleep(r.Context(), 2*time.Second)
	case CrossBody:
		body = Body(previous, pad)
		id = "x" + id
	}
	out.Header().Set("Stepwick-Request-Id", id)
	out.Header().Set("Content-Type", "text/plain")
	out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if fault == Truncated {
		_, _ = out.Write([]byte(body[:len(body)/2]))
		panic(http.ErrAbortHandler)
	}
	_, _ = out.Write([]byte(body))
	run.Done, run.Final = w.book.Now(), true
	w.book.PutRun(run)
}

// cut resets the connection under a request.
func cut(out http.ResponseWriter) {
	hijacker, ok := out.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (s *webState) draw() string {
	m := modelState{odds: s.odds, random: s.random}
	return m.draw()
}

func (w *Web) status(out http.ResponseWriter, r *http.Request) {
	var body map[string]any
	dark := false
	w.state.Do(func(s *webState) {
		dark = s.dark
		state := "ready"
		if s.drain {
			state = "draining"
		}
		body = map[string]any{"server": w.Name, "incarnation": s.incarnation, "state": state, "slots": 64, "running": s.running, "queued": 0,
			"tokens_per_second": 20000.0, "prefill_per_second": 20000.0, "kv_used": 0.0, "answered": s.answered}
	})
	if dark {
		<-r.Context().Done()
		return
	}
	apierror.WriteJSON(out, http.StatusOK, body)
}
