package paxos

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// stage plays an exchange among three cores and writes down what is said.
type stage struct {
	cores map[string]State
	text  strings.Builder
}

func (g *stage) say(format string, args ...any) { fmt.Fprintf(&g.text, format+"\n", args...) }

func (g *stage) keep(name string, records []Record) {
	for _, record := range records {
		g.cores[name] = record.Apply(g.cores[name])
		g.say("    %s syncs %s", name, words(record))
	}
}

func words(record Record) string {
	switch r := record.(type) {
	case FormationJoined:
		return fmt.Sprintf("joined %s of %v", r.Formation, r.Voters)
	case IncarnationRecorded:
		return fmt.Sprintf("life %d of %s", r.Incarnation, r.Core)
	case Promised:
		return fmt.Sprintf("slot %d promised to %s", r.Slot, name(r.Ballot))
	case Accepted:
		return fmt.Sprintf("slot %d accepted %q by %s", r.Slot, r.Value, name(r.Ballot))
	case Learned:
		return fmt.Sprintf("epoch %d learned: %q", r.Slot, r.Command)
	case RecoveryCompleted:
		text := fmt.Sprintf("entered: lives %v, learned %d", r.Incarnations, r.SnapshotSlot+uint64(len(r.Chosen)))
		for _, vote := range (State{OpenSlots: r.OpenSlots}).openSlotMessages() {
			text += fmt.Sprintf(", slot %d promised to %s, accepted %q by %s", vote.Slot, name(BallotFromWire(vote.Promised)), vote.Value, name(BallotFromWire(vote.Accepted)))
		}
		return text
	}
	return fmt.Sprintf("%T", record)
}

func name(b Ballot) string {
	if b.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%d.%s", b.Number, b.Core)
}

func (g *stage) enter(who string) {
	s := g.cores[who]
	probes, answers := map[string]*wire.RecoverResponse{}, map[string]*wire.RecoverResponse{}
	for _, other := range s.Others() {
		_, probes[other] = g.cores[other].Recover(&wire.RecoverRequest{Core: who, Probe: true})
		g.say("%s probes %s: %s", who, other, code(probes[other].Refusal, "lives %v", probes[other].Lives))
	}
	life, waiting := s.NextIncarnation(probes, 0)
	if waiting != "" {
		g.say("%s waits for %s", who, waiting)
		return
	}
	g.keep(who, []Record{IncarnationRecorded{Core: who, Incarnation: life}})
	for _, other := range s.Others() {
		records, answer := g.cores[other].Recover(&wire.RecoverRequest{Formation: s.Formation, Core: who, Life: life})
		g.say("%s announces life %d to %s: %s", who, life, other, code(answer.Refusal, "learned %d, %d open slots, lives %v", len(answer.Chosen), len(answer.Votes), answer.Lives))
		g.keep(other, records)
		answers[other] = answer
	}
	record, waiting := g.cores[who].CompleteRecovery(life, answers)
	if waiting != "" {
		g.say("%s waits for %s", who, waiting)
		return
	}
	g.keep(who, []Record{record})
}

func code(refusal uint32, format string, args ...any) string {
	if refusal != 0 {
		return "refuses, " + apierror.Code(refusal).String()
	}
	return fmt.Sprintf(format, args...)
}

// propose holds a ballot among those who hear it; silent ones stay out.
func (g *stage) propose(who string, value string, silent ...string) {
	s := g.cores[who]
	slot := s.Learned() + 1
	p, prepare := NewProposer(s, slot, s.NextBallotNumber(slot), []byte(value))
	var step Step
	for _, core := range voters {
		if slices.Contains(silent, core) {
			continue
		}
		records, resp := g.cores[core].Prepare(prepare)
		g.say("%s prepares %s in slot %d at %s: %s", who, name(p.Ballot), slot, core,
			code(resp.Refusal, "promised %v, accepted %q by %s", resp.Promised, resp.AcceptedValue, name(BallotFromWire(resp.AcceptedBallot))))
		g.keep(core, records)
		if p, step = p.HandlePrepare(resp); step.Accept != nil {
			break
		}
	}
	if step.Accept == nil {
		g.say("%s has no majority", who)
		return
	}
	accept := step.Accept
	for _, core := range voters {
		if slices.Contains(silent, core) || p.Phase == Ended {
			continue
		}
		records, resp := g.cores[core].Accept(accept)
		g.say("%s asks %s to accept %q by %s on lives %v: %s", who, core, accept.Value, name(p.Ballot), accept.PromisedLives,
			code(resp.Refusal, "accepted %v", resp.Accepted))
		g.keep(core, records)
		p, step = p.HandleAccept(resp)
	}
	if !step.Chosen {
		g.say("%s has no majority", who)
		return
	}
	g.say("%s has %q chosen in slot %d", who, step.Value, slot)
	for _, core := range voters {
		if !slices.Contains(silent, core) {
			records, _, _ := g.cores[core].Learn(&wire.LearnRequest{Formation: "f", Chosen: []*wire.Chosen{{Epoch: slot, Command: step.Value}}})
			g.keep(core, records)
		}
	}
}

func TestTranscript(t *testing.T) {
	g := &stage{cores: map[string]State{"a": Blank("a"), "b": Blank("b"), "c": Blank("c")}}
	g.say("# Three blank cores found a formation; all enter it")
	present := map[string]*wire.RecoverResponse{}
	for _, other := range []string{"b", "c"} {
		_, present[other] = g.cores[other].Recover(&wire.RecoverRequest{Core: "a", Probe: true})
	}
	record, _ := g.cores["a"].FoundFormation("f", 3, present, 0, nil)
	g.keep("a", []Record{record})
	for _, other := range []string{"b", "c"} {
		records, _ := g.cores[other].Found(&wire.FoundRequest{Formation: "f", Voters: voters, Founder: "a"})
		g.keep(other, records)
	}
	for _, core := range []string{"a", "b", "a", "c", "a", "b"} {
		if g.cores[core].Incarnation() == 0 {
			g.enter(core)
		}
	}
	g.say("\n# c does not hear of the first epoch")
	g.propose("a", "one", "c")
	g.say("\n# a's value for the second reaches b alone; a's disk is wiped")
	p, prepare := NewProposer(g.cores["a"], 2, 1, []byte("two"))
	for _, core := range []string{"a", "b"} {
		records, resp := g.cores[core].Prepare(prepare)
		g.keep(core, records)
		p, _ = p.HandlePrepare(resp)
	}
	records, _ := g.cores["b"].Accept(&wire.AcceptRequest{Formation: "f", Slot: 2, Ballot: p.Ballot.ToWire(), Value: []byte("two")})
	g.keep("b", records)
	g.cores["a"] = FormationJoined{Formation: "f", Voters: voters}.Apply(Blank("a"))
	g.propose("c", "three", "b")
	g.say("\n# a rebuilds from both others")
	g.enter("a")
	g.say("\n# and now it finishes what b accepted before it has its own way")
	g.propose("a", "four", "c")
	g.propose("a", "four", "c")
	g.say("\n# the disks of b and c are lost at once: neither is rebuilt from the other")
	for _, core := range []string{"c", "b"} {
		g.cores[core] = FormationJoined{Formation: "f", Voters: voters}.Apply(Blank(core))
	}
	g.enter("c")
	g.enter("b")
	g.enter("c")
	g.propose("a", "five")
	goldie.New(t).Assert(t, "exchange", []byte(g.text.String()))
}
