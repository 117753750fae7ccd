package paxos

import "stepwick/internal/wire"

// voters are the voters of the formation f in most tests.
var voters = []string{"a", "b", "c"}

// votingCore returns the state of a core that votes in the formation f.
func votingCore(name string) State {
	joined := FormationJoined{Formation: "f", Voters: voters}.Apply(BlankState(name))
	return RecoveryCompleted{Incarnations: map[string]uint64{"a": 1, "b": 1, "c": 1}}.Apply(joined)
}

func applyAll(s State, records []Record) State {
	for _, record := range records {
		s = record.Apply(s)
	}
	return s
}

func prepare(s State, slot, number uint64, core string) (State, *wire.PrepareResponse) {
	records, resp := s.Prepare(&wire.PrepareRequest{Formation: "f", Slot: slot, Ballot: Ballot{number, core}.ToWire()})
	return applyAll(s, records), resp
}

func accept(s State, slot, number uint64, core, value string, incarnations map[string]uint64) (State, *wire.AcceptResponse) {
	records, resp := s.Accept(&wire.AcceptRequest{Formation: "f", Slot: slot, Ballot: Ballot{number, core}.ToWire(), Value: []byte(value), PromisedLives: incarnations})
	return applyAll(s, records), resp
}
