package emulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"stepwick/cmd/rig/history"
	"stepwick/internal/apierror"
)

type generateBody struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Prefix        string `json:"prefix"`
	PrefixKey     any    `json:"prefix_key"`
	Session       string `json:"session"`
	PrefixTokens  int    `json:"prefix_tokens"`
	SessionTokens int    `json:"session_tokens"`
	MaxTokens     int    `json:"max_tokens"`
}

func (s *modelState) draw() string {
	at := s.random.Float64()
	for _, fault := range []string{EarlyEnd, TooLittle, Repeat, Cross, WrongID, Abort, Busy, Stall, ResetEarly, ResetRead, ResetRan, Truncated, CrossBody, Slow} {
		if at -= s.odds[fault]; at < 0 {
			return fault
		}
	}
	return ""
}

// Token finds the rig's token in a text: the word after "token=".
func Token(text string) string {
	_, rest, ok := strings.Cut(text, "token=")
	if !ok {
		return ""
	}
	end := strings.IndexFunc(rest, func(r rune) bool { return r <= ' ' || r == '&' || r == '"' || r == ';' })
	if end >= 0 {
		return rest[:end]
	}
	return rest
}

func (m *Model) generate(w http.ResponseWriter, r *http.Request) {
	var body generateBody
	if err := json.NewDecoder(io.LimitReader(r.Body, 4<<20)).Decode(&body); err != nil {
		http.Error(w, `{"code":"bad"}`, http.StatusBadRequest)
		return
	}
	id := r.Header.Get("Stepwick-Request-Id")
	if id == "" {
		id = body.ID
	}
	events := max(1, body.MaxTokens/m.shape.EventSize)
	j := &job{request: id, prefix: body.Prefix, weight: body.PrefixTokens, prefill: float64(body.PrefixTokens + body.SessionTokens),
		left: events, out: make(chan frame, events+4), gone: r.Context().Done()}
	busy := false
	m.state.Do(func(s *modelState) {
		s.serial++
		j.fault, j.faultAt = s.draw(), s.random.IntN(events)
		j.run = history.Run{ID: fmt.Sprintf("%s-%d-%d", m.Name, s.incarnation%1e9, s.serial), Server: m.Name, Kind: "model",
			Token: Token(body.Session), Request: id, Arrived: m.book.Now(), InFlight: len(s.running) + len(s.queue) + 1,
			Answered: s.answered, WarmingUp: m.cold(s), Slots: m.shape.Slots, Fault: j.fault}
		s.peak = max(s.peak, j.run.InFlight)
		busy = j.fault == Busy || len(s.queue) >= m.shape.Queue
		m.book.PutRun(j.run)
		if !busy {
			s.queue = append(s.queue, j)
		}
	})
	answer := id
	if j.fault == WrongID {
		answer = "x" + id
	}
	w.Header().Set("Stepwick-Request-Id", answer)
	if busy {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"code":"busy"}`))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	out := bufio.NewWriter(w)
	for {
		select {
		case f, ok := <-j.out:
			if !ok {
				return
			}
			switch {
			case f.end == Abort:
				panic(http.ErrAbortHandler)
			case f.end != "":
				return
			case f.final:
				fmt.Fprintf(out, "data: {\"id\":%q,\"final\":true,\"count\":%d}\n\n", f.event.ID, f.count)
			default:
				fmt.Fprintf(out, "data: {\"id\":%q,\"seq\":%d,\"text\":\"%s %s %d\"}\n\n", f.event.ID, f.event.Seq, f.event.Token, f.event.Run, f.event.Index)
			}
			if out.Flush() != nil {
				return
			}
			flusher.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

func (m *Model) status(w http.ResponseWriter, r *http.Request) {
	var body map[string]any
	dark := false
	m.state.Do(func(s *modelState) {
		dark = s.dark
		state, prefill := "ready", m.shape.Prefill
		if m.cold(s) {
			state, prefill = "cold", m.shape.Prefill*m.shape.ColdFactor
		}
		if s.drain {
			state = "draining"
		}
		body = map[string]any{"server": m.Name, "incarnation": s.incarnation, "state": state, "slots": m.shape.Slots,
			"running": len(s.running), "queued": len(s.queue), "tokens_per_second": m.shape.Decode * float64(m.shape.EventSize*m.shape.Slots),
			"prefill_per_second": prefill, "kv_used": float64(m.used(s)) / float64(m.shape.KV), "answered": s.answered}
	})
	if dark {
		<-r.Context().Done()
		return
	}
	apierror.WriteJSON(w, http.StatusOK, body)
}
