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

// exchange passes messages between the states of three cores and writes a
// transcript of the messages and of the records that they sync.
type exchange struct {
	cores      map[string]State
	transcript strings.Builder
}

func (e *exchange) printf(format string, args ...any) {
	fmt.Fprintf(&e.transcript, format+"\n", args...)
}

// sync applies records to the state of a core, as after syncing them to disk.
func (e *exchange) sync(name string, records []Record) {
	for _, record := range records {
		e.cores[name] = record.Apply(e.cores[name])
		e.printf("    %s syncs %s", name, describeRecord(record))
	}
}

func describeRecord(record Record) string {
	switch r := record.(type) {
	case FormationJoined:
		return fmt.Sprintf("joined formation %s with voters %v", r.Formation, r.Voters)
	case IncarnationRecorded:
		return fmt.Sprintf("incarnation %d of %s", r.Incarnation, r.Core)
	case Promised:
		return fmt.Sprintf("slot %d promised to %s", r.Slot, formatBallot(r.Ballot))
	case Accepted:
		return fmt.Sprintf("slot %d accepted %q by %s", r.Slot, r.Value, formatBallot(r.Ballot))
	case Learned:
		return fmt.Sprintf("slot %d learned: %q", r.Slot, r.Value)
	case RecoveryCompleted:
		text := fmt.Sprintf("completed recovery: incarnations %v, learned %d", r.Incarnations, r.SnapshotSlot+uint64(len(r.Chosen)))
		for _, vote := range openSlotsToWire(r.OpenSlots) {
			text += fmt.Sprintf(", slot %d promised to %s, accepted %q by %s", vote.Slot, formatBallot(BallotFromWire(vote.Promised)), vote.Value, formatBallot(BallotFromWire(vote.Accepted)))
		}
		return text
	}
	return fmt.Sprintf("%T", record)
}

func formatBallot(b Ballot) string {
	if b.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%d.%s", b.Number, b.Core)
}

// recover runs the recovery of a core from the other voters.
func (e *exchange) recover(core string) {
	s := e.cores[core]
	probes, answers := map[string]*wire.RecoverResponse{}, map[string]*wire.RecoverResponse{}
	for _, other := range s.OtherVoters() {
		_, probes[other] = e.cores[other].Recover(&wire.RecoverRequest{Core: core, Probe: true})
		e.printf("%s probes %s: %s", core, other, formatAnswer(probes[other].Refusal, "incarnations %v", probes[other].Lives))
	}
	incarnation, missing := s.NextIncarnation(probes, 0)
	if missing != "" {
		e.printf("%s waits for %s", core, missing)
		return
	}
	e.sync(core, []Record{IncarnationRecorded{Core: core, Incarnation: incarnation}})
	for _, other := range s.OtherVoters() {
		records, answer := e.cores[other].Recover(&wire.RecoverRequest{Formation: s.Formation, Core: core, Life: incarnation})
		e.printf("%s announces incarnation %d to %s: %s", core, incarnation, other, formatAnswer(answer.Refusal, "learned %d, %d open slots, incarnations %v", len(answer.Chosen), len(answer.Votes), answer.Lives))
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

// formatAnswer returns the code of a refusal, or formats the answer if there is none.
func formatAnswer(refusal uint32, format string, args ...any) string {
	if refusal != 0 {
		return "refuses, " + apierror.Code(refusal).String()
	}
	return fmt.Sprintf(format, args...)
}

// propose runs a ballot among the reachable cores.
func (e *exchange) propose(from string, value string, unreachable ...string) {
	s := e.cores[from]
	slot := s.HighestLearnedSlot() + 1
	proposer, request := NewProposer(s, slot, s.NextBallotNumber(slot), []byte(value))
	var step Step
	for _, core := range voters {
		if slices.Contains(unreachable, core) {
			continue
		}
		records, resp := e.cores[core].Prepare(request)
		e.printf("%s prepares %s in slot %d at %s: %s", from, formatBallot(proposer.Ballot), slot, core,
			formatAnswer(resp.Refusal, "promised %v, accepted %q by %s", resp.Promised, resp.AcceptedValue, formatBallot(BallotFromWire(resp.AcceptedBallot))))
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
		e.printf("%s asks %s to accept %q by %s with promises of incarnations %v: %s", from, core, accept.Value, formatBallot(proposer.Ballot), accept.PromisedLives,
			formatAnswer(resp.Refusal, "accepted %v", resp.Accepted))
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

func TestMessageExchangeMatchesGoldenTranscript(t *testing.T) {
	e := &exchange{cores: map[string]State{"a": BlankState("a"), "b": BlankState("b"), "c": BlankState("c")}}
	e.printf("# Three blank cores found a formation and complete their recovery")
	probes := map[string]*wire.RecoverResponse{}
	for _, other := range []string{"b", "c"} {
		_, probes[other] = e.cores[other].Recover(&wire.RecoverRequest{Core: "a", Probe: true})
	}
	record, _ := e.cores["a"].FoundFormation("f", 3, probes, 0, nil)
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
	e.printf("\n# The value chosen in slot 1 does not reach c")
	e.propose("a", "one", "c")
	e.printf("\n# Only b accepts a's value for slot 2; then a loses its disk")
	p, prepare := NewProposer(e.cores["a"], 2, 1, []byte("two"))
	for _, core := range []string{"a", "b"} {
		records, resp := e.cores[core].Prepare(prepare)
		e.sync(core, records)
		p, _ = p.HandlePrepare(resp)
	}
	records, _ := e.cores["b"].Accept(&wire.AcceptRequest{Formation: "f", Slot: 2, Ballot: p.Ballot.ToWire(), Value: []byte("two")})
	e.sync("b", records)
	e.cores["a"] = FormationJoined{Formation: "f", Voters: voters}.Apply(BlankState("a"))
	e.propose("c", "three", "b")
	e.printf("\n# a recovers from b and c")
	e.recover("a")
	e.printf("\n# a completes slot 2 with the value that b accepted, then proposes its own")
	e.propose("a", "four", "c")
	e.propose("a", "four", "c")
	e.printf("\n# b and c lose their disks at once: neither recovers from the other")
	for _, core := range []string{"c", "b"} {
		e.cores[core] = FormationJoined{Formation: "f", Voters: voters}.Apply(BlankState(core))
	}
	e.recover("c")
	e.recover("b")
	e.recover("c")
	e.propose("a", "five")
	goldie.New(t).Assert(t, "exchange", []byte(e.transcript.String()))
}
