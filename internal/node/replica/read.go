package replica

import (
	"context"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/paxos"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// fetchTimeout is the timeout of one call that fetches chosen values.
const fetchTimeout = 1500 * time.Millisecond

// voterPoll is what the voters answered to a Read.
type voterPoll struct {
	answered    int    // voters that answered without a refusal
	highest     uint64 // the highest slot that one of them has learned or accepted
	learned     uint64 // the highest slot that one of them has learned
	learnedBy   string
	incarnation uint64 // the highest of this core that one of them knows
}

// ReadMajority returns a configuration that includes whatever was chosen before
// the call. It reads from a majority of the voters and completes the slots that
// it finds accepted. Without a majority it returns an error of the code NoMajority.
func (r *Replica) ReadMajority(ctx context.Context) (statemachine.State, error) {
