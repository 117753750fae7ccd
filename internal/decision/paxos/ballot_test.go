package paxos

import (
	"fmt"
	"reflect"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

var voters = []string{"a", "b", "c"}

func entered(name string) State {
	joined := FormationJoined{Formation: "f", Voters: voters}.Apply(Blank(name))
	return RecoveryCompleted{Incarnations: map[string]uint64{"a": 1, "b": 1, "c": 1}}.Apply(joined)
}

func fold(s State, records []Record) State {
	for _, record := range records {
		s = record.Apply(s)
	}
	return s
}

func prepare(s State, slot, number uint64, core string) (State, *wire.PrepareResponse) {
	records, resp := s.Prepare(&wire.PrepareRequest{Formation: "f", Slot: slot, Ballot: Ballot{number, core}.ToWire()})
	return fold(s, records), resp
}

func accept(s State, slot, number uint64, core, value string, lives map[string]uint64) (State, *wire.AcceptResponse) {
	records, resp := s.Accept(&wire.AcceptRequest{Formation: "f", Slot: slot, Ballot: Ballot{number, core}.ToWire(), Value: []byte(value), PromisedLives: lives})
	return fold(s, records), resp
}

func TestAcceptor(t *testing.T) {
	Convey("A ballot is promised once and binds against lower ones", t, func() {
		s, resp := prepare(entered("a"), 1, 5, "b")
		So(resp.Promised, ShouldBeTrue)
		_, resp = prepare(s, 1, 5, "b")
		So(resp.Promised, ShouldBeFalse)
		So(BallotFromWire(resp.PromisedBallot), ShouldResemble, Ballot{5, "b"})
		_, resp = prepare(s, 1, 5, "a")
		So(resp.Promised, ShouldBeFalse)
		_, lower := accept(s, 1, 4, "c", "x", nil)
		So(lower.Accepted, ShouldBeFalse)
		s, same := accept(s, 1, 5, "b", "y", nil)
		So(same.Accepted, ShouldBeTrue)
		_, again := accept(s, 1, 5, "b", "y", nil)
		So(again.Accepted, ShouldBeTrue)
		_, other := accept(s, 1, 5, "b", "z", nil)
		So(apierror.Code(other.Refusal), ShouldEqual, apierror.Internal)
		_, resp = prepare(s, 1, 6, "c")
		So(BallotFromWire(resp.AcceptedBallot), ShouldResemble, Ballot{5, "b"})
		So(string(resp.AcceptedValue), ShouldEqual, "y")
	})
	Convey("A value that rests on the promise of a lost disk is refused", t, func() {
		s := IncarnationRecorded{Core: "c", Incarnation: 2}.Apply(entered("a"))
		_, resp := accept(s, 1, 5, "b", "y", map[string]uint64{"a": 1, "c": 1})
		So(apierror.Code(resp.Refusal), ShouldEqual, apierror.CoreAmnesiac)
		_, resp = accept(s, 1, 5, "b", "y", map[string]uint64{"a": 1, "c": 2})
		So(resp.Accepted, ShouldBeTrue)
	})
	Convey("Blank, strange and amnesiac cores neither promise nor accept", t, func() {
		joined := FormationJoined{Formation: "f", Voters: voters}.Apply(Blank("a"))
		strange := entered("a")
		strange.Formation = "g"
		for code, s := range map[apierror.Code]State{apierror.CoreBlank: Blank("a"), apierror.CoreAmnesiac: joined, apierror.WrongFormation: strange} {
			_, p := prepare(s, 1, 1, "b")
			So(apierror.Code(p.Refusal), ShouldEqual, code)
			_, a := accept(s, 1, 1, "b", "x", nil)
			So(apierror.Code(a.Refusal), ShouldEqual, code)
			So(apierror.Code(s.Read(&wire.ReadRequest{Formation: "f"}).Refusal), ShouldEqual, code)
		}
	})
	Convey("A learned slot answers with its value, a compacted one says it is behind", t, func() {
		s := entered("a")
		records, resp, behind := s.Learn(&wire.LearnRequest{Formation: "f", Chosen: []*wire.Chosen{{Epoch: 1, Command: []byte("one")}, {Epoch: 2, Command: []byte("two")}, {Epoch: 4, Command: []byte("four")}}})
		So(resp.Learned, ShouldEqual, 2)
		So(behind, ShouldBeTrue)
		s = fold(s, records)
		_, p := prepare(s, 2, 9, "b")
		So(string(p.ChosenValue), ShouldEqual, "two")
		s = s.Compacted(2, []byte("both"))
		_, p = prepare(s, 2, 9, "b")
		So(apierror.Code(p.Refusal), ShouldEqual, apierror.VersionBehind)
		fetched, apiErr := s.Fetch(&wire.FetchRequest{Formation: "f", After: 0})
		So(apiErr, ShouldBeNil)
		other := fold(entered("b"), entered("b").HandleFetch(fetched))
		So(other.Learned(), ShouldEqual, 2)
		So(string(other.Snapshot), ShouldEqual, "both")
	})
}

func TestProposer(t *testing.T) {
	Convey("A promise of an earlier disk life is not counted", t, func() {
		p, _ := NewProposer(entered("a"), 1, 1, []byte("own"))
		p, step := p.HandlePrepare(&wire.PrepareResponse{Core: "b", Promised: true, PromisedBallot: p.Ballot.ToWire(), Lives: map[string]uint64{"a": 1, "b": 1, "c": 1}})
		So(step, ShouldResemble, Step{})
		p, step = p.HandlePrepare(&wire.PrepareResponse{Core: "c", Promised: true, PromisedBallot: p.Ballot.ToWire(), Lives: map[string]uint64{"a": 1, "b": 2, "c": 1}})
		So(step, ShouldResemble, Step{})
		_, step = p.HandlePrepare(&wire.PrepareResponse{Core: "a", Promised: true, PromisedBallot: p.Ballot.ToWire(), Lives: map[string]uint64{"a": 1, "b": 1, "c": 1}})
		So(step.Accept.PromisedLives, ShouldResemble, map[string]uint64{"a": 1, "c": 1})
	})
	Convey("Without a possible majority the ballot is lost; a learned slot ends it at once", t, func() {
		p, _ := NewProposer(entered("a"), 1, 1, []byte("own"))
		q, step := p.HandleFailure("b")
		So(step.Lost, ShouldBeFalse)
		_, step = q.HandlePrepare(&wire.PrepareResponse{Core: "c", PromisedBallot: Ballot{7, "c"}.ToWire()})
		So(step.Lost, ShouldBeTrue)
		_, step = p.HandlePrepare(&wire.PrepareResponse{Core: "c", Chosen: true, ChosenValue: []byte("x"), Learned: 1})
		So(step.Chosen, ShouldBeTrue)
		_, step = p.HandlePrepare(&wire.PrepareResponse{Core: "c", Refusal: uint32(apierror.VersionBehind), Learned: 9})
		So(step.LearnedBy, ShouldEqual, "c")
	})
}

func TestRecovery(t *testing.T) {
	wiped := FormationJoined{Formation: "f", Voters: voters}.Apply(Blank("a"))
	probe := func(s State) *wire.RecoverResponse {
		_, resp := s.Recover(&wire.RecoverRequest{Core: "a", Probe: true})
		return resp
	}
	announce := func(s State, life uint64) (State, *wire.RecoverResponse) {
		records, resp := s.Recover(&wire.RecoverRequest{Formation: "f", Core: "a", Life: life})
		return fold(s, records), resp
	}
	Convey("A wiped core takes the next life and the highest of what both others hold", t, func() {
		b, _ := prepare(entered("b"), 1, 3, "b")
		b, _ = accept(b, 1, 3, "b", "three", nil)
		c, _ := prepare(entered("c"), 1, 5, "c")
		life, waiting := wiped.NextIncarnation(map[string]*wire.RecoverResponse{"b": probe(b), "c": probe(c)}, 0)
		So(waiting, ShouldBeEmpty)
		So(life, ShouldEqual, 2)
		b, fromB := announce(b, life)
		_, fromC := announce(c, life)
		So(b.Incarnations["a"], ShouldEqual, 2)
		_, waiting = wiped.CompleteRecovery(life, map[string]*wire.RecoverResponse{"b": fromB})
		So(waiting, ShouldEqual, "c")
		record, waiting := wiped.CompleteRecovery(life, map[string]*wire.RecoverResponse{"b": fromB, "c": fromC})
		So(waiting, ShouldBeEmpty)
		s := record.Apply(wiped)
		So(s.Incarnation(), ShouldEqual, 2)
		So(s.OpenSlots[1], ShouldResemble, SlotState{Promised: Ballot{5, "c"}, Accepted: Ballot{3, "b"}, Value: []byte("three")})
		_, late := announce(b, 1)
		So(apierror.Code(late.Refusal), ShouldEqual, apierror.VersionBehind)
	})
	Convey("Nobody is rebuilt from a core that lost its disk, nor proved new by it alone", t, func() {
		lost := IncarnationRecorded{Core: "c", Incarnation: 2}.Apply(FormationJoined{Formation: "f", Voters: voters}.Apply(Blank("c")))
		_, resp := announce(lost, 2)
		So(apierror.Code(resp.Refusal), ShouldEqual, apierror.CoreAmnesiac)
		unsure := FormationJoined{Formation: "f", Voters: voters}.Apply(Blank("b"))
		_, waiting := wiped.NextIncarnation(map[string]*wire.RecoverResponse{"b": probe(unsure), "c": probe(lost)}, 0)
		So(waiting, ShouldNotBeEmpty)
		_, fromB := announce(entered("b"), 2)
		stale := IncarnationRecorded{Core: "c", Incarnation: 1}.Apply(FormationJoined{Formation: "f", Voters: voters}.Apply(Blank("c")))
		_, fromC := announce(stale, 2)
		fromB.Lives["c"] = 2
		_, waiting = wiped.CompleteRecovery(2, map[string]*wire.RecoverResponse{"b": fromB, "c": fromC})
		So(waiting, ShouldStartWith, "c")
	})
	Convey("A first formation needs every core, blank, and the lowest name", t, func() {
		blank := &wire.RecoverResponse{Refusal: uint32(apierror.CoreBlank)}
		record, ok := Blank("a").FoundFormation("id", 3, map[string]*wire.RecoverResponse{"b": blank, "c": blank}, 0, nil)
		So(ok, ShouldBeTrue)
		So(record.(FormationJoined).Voters, ShouldResemble, voters)
		for _, present := range []map[string]*wire.RecoverResponse{{"b": blank}, {"b": blank, "c": nil}, {"b": blank, "c": {Ok: true}}} {
			_, ok = Blank("a").FoundFormation("id", 3, present, 0, nil)
			So(ok, ShouldBeFalse)
		}
		_, ok = Blank("b").FoundFormation("id", 3, map[string]*wire.RecoverResponse{"a": blank, "c": blank}, 0, nil)
		So(ok, ShouldBeFalse)
	})
}

func TestRecoveryOfTwoAtOnce(t *testing.T) {
	five := []string{"a", "b", "c", "d", "e"}
	lives := map[string]uint64{"a": 1, "b": 1, "c": 1, "d": 1, "e": 1}
	voting := func(name string) State {
		return RecoveryCompleted{Incarnations: lives}.Apply(FormationJoined{Formation: "f", Voters: five}.Apply(Blank(name)))
	}
	wiped := func(name string) State { return FormationJoined{Formation: "f", Voters: five}.Apply(Blank(name)) }
	probes := func(asks string, cores ...State) map[string]*wire.RecoverResponse {
		answers := map[string]*wire.RecoverResponse{}
		for _, core := range cores {
			_, answers[core.Self] = core.Recover(&wire.RecoverRequest{Core: asks, Probe: true})
		}
		return answers
	}
	announced := func(asks string, life uint64, cores ...State) map[string]*wire.RecoverResponse {
		answers := map[string]*wire.RecoverResponse{}
		for _, core := range cores {
			_, answers[core.Self] = core.Recover(&wire.RecoverRequest{Formation: "f", Core: asks, Life: life})
		}
		return answers
	}
	Convey("Of five cores two that are wiped at once rebuild from the other three, and hold what a majority accepted", t, func() {
		c, _ := accept(voting("c"), 1, 3, "a", "chosen by a, b and c", nil)
		d, e := voting("d"), voting("e")
		life, waiting := wiped("a").NextIncarnation(probes("a", wiped("b"), c, d, e), 0)
		So(waiting, ShouldBeEmpty)
		So(life, ShouldEqual, 2)
		record, waiting := wiped("a").CompleteRecovery(life, announced("a", life, wiped("b"), c, d, e))
		So(waiting, ShouldBeEmpty)
		a := record.Apply(wiped("a"))
		So(string(a.OpenSlots[1].Value), ShouldEqual, "chosen by a, b and c")
		record, waiting = wiped("b").CompleteRecovery(life, announced("b", life, a, d, e))
		So(waiting, ShouldBeEmpty)
		So(string(record.Apply(wiped("b")).OpenSlots[1].Value), ShouldEqual, "chosen by a, b and c")
	})
	Convey("Two others are too few, and so are three of which one has lost its disk", t, func() {
		d, e := voting("d"), voting("e")
		_, waiting := wiped("a").NextIncarnation(probes("a", d, e), 0)
		So(waiting, ShouldEqual, "b")
		_, waiting = wiped("a").NextIncarnation(probes("a", wiped("b"), d, e), 0)
		So(waiting, ShouldEqual, "c")
		_, waiting = wiped("a").CompleteRecovery(2, announced("a", 2, d, e))
		So(waiting, ShouldEqual, "b")
		c := voting("c")
		d = IncarnationRecorded{Core: "c", Incarnation: 2}.Apply(d)
		_, waiting = wiped("a").CompleteRecovery(2, announced("a", 2, c, d, e))
		So(waiting, ShouldEqual, "b")
	})
	Convey("A first life needs the answers of all, as only the founder may hold what outlived an earlier formation", t, func() {
		first := func(name string) State { return IncarnationRecorded{Core: name, Incarnation: 1}.Apply(wiped(name)) }
		_, waiting := wiped("a").NextIncarnation(probes("a", first("b"), first("c"), first("d")), 0)
		So(waiting, ShouldEqual, "e")
		_, waiting = first("a").NextIncarnation(probes("a", voting("b"), voting("c"), voting("d")), 0)
		So(waiting, ShouldEqual, "e")
		_, waiting = first("a").CompleteRecovery(1, announced("a", 1, voting("b"), voting("c"), voting("d")))
		So(waiting, ShouldEqual, "e")
		_, waiting = wiped("a").NextIncarnation(probes("a", first("b"), first("c"), first("d"), voting("e")), 0)
		So(waiting, ShouldBeEmpty)
	})
	Convey("Two cores that are the last to enter a first formation ask each other, however many vote already", t, func() {
		first := func(name string) State { return IncarnationRecorded{Core: name, Incarnation: 1}.Apply(wiped(name)) }
		cores, enough := first("a").RecoverySources(1, probes("a", first("b"), voting("c"), voting("d"), voting("e")))
		So(cores, ShouldResemble, []string{"b", "c", "d", "e"})
		So(enough, ShouldEqual, 0)
		_, waiting := first("a").CompleteRecovery(1, announced("a", 1, first("b"), voting("c"), voting("d"), voting("e")))
		So(waiting, ShouldBeEmpty)
	})
	Convey("A core that lost its disk asks those that vote where they are enough, and else all", t, func() {
		cores, enough := wiped("a").RecoverySources(2, probes("a", wiped("b"), voting("c"), voting("d"), voting("e")))
		So(cores, ShouldResemble, []string{"c", "d", "e"})
		So(enough, ShouldEqual, 3)
		cores, enough = wiped("a").RecoverySources(2, probes("a", wiped("b"), voting("d"), voting("e")))
		So(cores, ShouldResemble, []string{"b", "c", "d", "e"})
		So(enough, ShouldEqual, 0)
	})
}

func drawRecord(t *rapid.T) Record {
	ballot := Ballot{rapid.Uint64().Draw(t, "number"), rapid.SampledFrom(voters).Draw(t, "core")}
	slot, value := rapid.Uint64Range(1, 1<<40).Draw(t, "slot"), rapid.SliceOfN(rapid.Byte(), 1, 20).Draw(t, "value")
	lives := map[string]uint64{"a": rapid.Uint64().Draw(t, "life")}
	return rapid.SampledFrom([]Record{
		FormationJoined{Formation: "f", Voters: voters, SnapshotSlot: slot, Snapshot: value},
		IncarnationRecorded{Core: "b", Incarnation: slot}, Promised{Slot: slot, Ballot: ballot}, Accepted{Slot: slot, Ballot: ballot, Value: value},
		Learned{Slot: slot, Command: value}, Learned{Slot: slot, AsAccepted: true}, SnapshotInstalled{Slot: slot, Snapshot: value},
		RecoveryCompleted{Incarnations: lives, SnapshotSlot: slot, Snapshot: value, Chosen: []*wire.Chosen{{Epoch: slot + 1, Command: value}},
			OpenSlots: map[uint64]SlotState{slot + 2: {Promised: ballot, Accepted: ballot, Value: value}}},
	}).Draw(t, "record")
}

func TestRecordsReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := drawRecord(t)
		data := EncodeRecord(record)
		back, err := DecodeRecord(data)
		if err != nil {
			t.Fatal(err)
		}
		if again := EncodeRecord(back); !reflect.DeepEqual(again, data) {
			t.Fatalf("%#v came back as %#v", record, back)
		}
		s := entered("a")
		if !proto.Equal(record.Apply(s).recoverResponse(), back.Apply(s).recoverResponse()) {
			t.Fatalf("%#v folds otherwise when read back", record)
		}
		whole, err := DecodeState(record.Apply(s).Encode())
		if err != nil || !proto.Equal(whole.recoverResponse(), record.Apply(s).recoverResponse()) {
			t.Fatalf("a state with %#v does not read back: %v", record, err)
		}
		for cut := range data {
			_, _ = DecodeRecord(data[:cut])
		}
	})
}

func TestFetchIsBounded(t *testing.T) {
	Convey("Large commands are fetched some at a time", t, func() {
		s := entered("a")
		for version := range uint64(6) {
			s = Learned{Slot: version + 1, Command: fmt.Appendf(make([]byte, maxFetchBytes/2), "%d", version)}.Apply(s)
		}
		other, rounds := entered("b"), 0
		for ; other.Learned() < 6; rounds++ {
			resp, apiErr := s.Fetch(&wire.FetchRequest{Formation: "f", After: other.Learned()})
			So(apiErr, ShouldBeNil)
			So(len(resp.Chosen), ShouldBeBetween, 0, 3)
			other = fold(other, other.HandleFetch(resp))
		}
		So(rounds, ShouldBeGreaterThan, 2)
	})
}
