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

// exchange runs the decisions of three cores on each other's messages and writes
// a transcript.
type exchange struct {
	cores map[string]State
	text  strings.Builder
}

func (e *exchange) printf(format string, args ...any) { fmt.Fprintf(&e.text, format+"\n", args...) }

// sync applies the records that a core makes durable.
func (e *exchange) sync(name string, records []Record) {
	for _, record := range records {
		e.cores[name] = record.Apply(e.cores[name])
		e.printf("    %s syncs %s", name, describe(record))
	}
}

func describe(record Record) string {
	switch r := record.(type) {
	case FormationJoined:
		return fmt.Sprintf("joined %s of %v", r.Formation, r.Voters)
	case IncarnationRecorded:
		return fmt.Sprintf("life %d of %s", r.Incarnation, r.Core)
	case Promised:
		return fmt.Sprintf("slot %d promised to %s", r.Slot, ballotName(r.Ballot))
	case Accepted:
		return fmt.Sprintf("slot %d accepted %q by %s", r.Slot, r.Value, ballotName(r.Ballot))
	case Learned:
		return fmt.Sprintf("epoch %d learned: %q", r.Slot, r.Command)
	case RecoveryCompleted:
		text := fmt.Sprintf("entered: lives %v, learned %d", r.Incarnations, r.SnapshotSlot+uint64(len(r.Chosen)))
		for _, vote := range openSlotsToWire(r.OpenSlots) {
			text += fmt.Sprintf(", slot %d promised to %s, accepted %q by %s", vote.Slot, ballotName(BallotFromWire(vote.Promised)), vote.Value, ballotName(BallotFromWire(vote.Accepted)))
		}
		return text
	}
	return fmt.Sprintf("%T", record)
}

func ballotName(b Ballot) string {
	if b.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%d.%s", b.Number, b.Core)
}

// recover has a core enter its formation from the other voters.
func (e *exchange) recover(core string) {
	s := e.cores[core]
	probes, answers := map[string]*wire.RecoverResponse{}, map[string]*wire.RecoverResponse{}
	for _, other := range s.Others() {
		_, probes[other] = e.cores[other].Recover(&wire.RecoverRequest{Core: core, Probe: true})
		e.printf("%s probes %s: %s", core, other, refusalOr(probes[other].Refusal, "lives %v", probes[other].Lives))
	}
	incarnation, missing := s.NextIncarnation(probes, 0)
	if missing != "" {
		e.printf("%s waits for %s", core, missing)
		return
	}
	e.sync(core, []Record{IncarnationRecorded{Core: core, Incarnation: incarnation}})
	for _, other := range s.Others() {
		records, answer := e.cores[other].Recover(&wire.RecoverRequest{Formation: s.Formation, Core: core, Life: incarnation})
		e.printf("%s announces life %d to %s: %s", core, incarnation, other, refusalOr(answer.Refusal, "learned %d, %d open slots, lives %v", len(answer.Chosen), len(answer.Votes), answer.Lives))
		e.sync(other, records)
		answers[other] = answer
	}
	record, missing := e.cores[core].CompleteRecovery(incarnation, answers)
	if missing != "" {
		e.printf("%s waits for %s", core, missing)
		return
	}
	e.sync(core, []Record{record})
}

// refusalOr describes the refusal, or else formats the answer.
func refusalOr(refusal uint32, format string, args ...any) string {
	if refusal != 0 {
		return "refuses, " + apierror.Code(refusal).String()
	}
	return fmt.Sprintf(format, args...)
}

// propose runs a ballot among the cores that can be reached.
func (e *exchange) propose(from string, value string, unreachable ...string) {
	s := e.cores[from]
	slot := s.Learned() + 1
	proposer, request := NewProposer(s, slot, s.NextBallotNumber(slot), []byte(value))
	var step Step
	for _, core := range voters {
		if slices.Contains(unreachable, core) {
			continue
		}
		records, resp := e.cores[core].Prepare(request)
		e.printf("%s prepares %s in slot %d at %s: %s", from, ballotName(proposer.Ballot), slot, core,
			refusalOr(resp.Refusal, "promised %v, accepted %q by %s", resp.Promised, resp.AcceptedValue, ballotName(BallotFromWire(resp.AcceptedBallot))))
		e.sync(core, records)
		if proposer, step = proposer.HandlePrepare(resp); step.Action == SendAccept {
			break
		}
	}
	if step.Action != SendAccept {
		e.printf("%s has no majority", from)
		return
	}
	accept := step.Accept
	for _, core := range voters {
		if slices.Contains(unreachable, core) || proposer.Phase == Ended {
			continue
		}
		records, resp := e.cores[core].Accept(accept)
		e.printf("%s asks %s to accept %q by %s on lives %v: %s", from, core, accept.Value, ballotName(proposer.Ballot), accept.PromisedLives,
			refusalOr(resp.Refusal, "accepted %v", resp.Accepted))
		e.sync(core, records)
		proposer, step = proposer.HandleAccept(resp)
	}
	if step.Action != ValueChosen {
		e.printf("%s has no majority", from)
		return
	}
	e.printf("%s has %q chosen in slot %d", from, step.Value, slot)
	for _, core := range voters {
		if !slices.Contains(unreachable, core) {
			records, _, _ := e.cores[core].Learn(&wire.LearnRequest{Formation: "f", Chosen: []*wire.Chosen{{Epoch: slot, Command: step.Value}}})
			e.sync(core, records)
		}
	}
}

func TestExchangeMatchesTranscript(t *testing.T) {
	e := &exchange{cores: map[string]State{"a": Blank("a"), "b": Blank("b"), "c": Blank("c")}}
	e.printf("# Three blank cores found a formation; all enter it")
	present := map[string]*wire.RecoverResponse{}
	for _, other := range []string{"b", "c"} {
		_, present[other] = e.cores[other].Recover(&wire.RecoverRequest{Core: "a", Probe: true})
	}
	record, _ := e.cores["a"].FoundFormation("f", 3, present, 0, nil)
	e.sync("a", []Record{record})
	for _, other := range []string{"b", "c"} {
		records, _ := e.cores[other].Found(&wire.FoundRequest{Formation: "f", Voters: voters, Founder: "a"})
		e.sync(other, records)
	}
	for _, core := range []string{"a", "b", "a", "c", "a", "b"} {
		if e.cores[core].Incarnation() == 0 {
			e.recover(core)
		}
	}
	e.printf("\n# c does not hear of the first epoch")
	e.propose("a", "one", "c")
	e.printf("\n# a's value for the second reaches b alone; a's disk is wiped")
	p, prepare := NewProposer(e.cores["a"], 2, 1, []byte("two"))
	for _, core := range []string{"a", "b"} {
		records, resp := e.cores[core].Prepare(prepare)
		e.sync(core, records)
		p, _ = p.HandlePrepare(resp)
	}
	records, _ := e.cores["b"].Accept(&wire.AcceptRequest{Formation: "f", Slot: 2, Ballot: p.Ballot.ToWire(), Value: []byte("two")})
	e.sync("b", records)
	e.cores["a"] = FormationJoined{Formation: "f", Voters: voters}.Apply(Blank("a"))
	e.propose("c", "three", "b")
	e.printf("\n# a rebuilds from both others")
	e.recover("a")
	e.printf("\n# and now it finishes what b accepted before it has its own way")
	e.propose("a", "four", "c")
	e.propose("a", "four", "c")
	e.printf("\n# the disks of b and c are lost at once: neither is rebuilt from the other")
	for _, core := range []string{"c", "b"} {
		e.cores[core] = FormationJoined{Formation: "f", Voters: voters}.Apply(Blank(core))
	}
	e.recover("c")
	e.recover("b")
	e.recover("c")
	e.propose("a", "five")
	goldie.New(t).Assert(t, "exchange", []byte(e.text.String()))
}
