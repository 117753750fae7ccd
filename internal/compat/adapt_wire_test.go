package compat

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"stepwick/internal/wire"
)

// wireFile returns the descriptor of the protobuf file with the messages between processes.
func wireFile() protoreflect.FileDescriptor { return wire.File_stepwick_v1_wire_proto }

// packedCounts returns the encoding of a tally exchange with packed counts.
func packedCounts() ([]byte, error) {
	counts := []*wire.Count{
		{Tenant: "press", Window: 7, Own: 303.5, Learned: 4, Slices: []float64{1, 2.5, 0, 300}, LearnedSlices: []float64{4}},
		{Tenant: "wire", Window: 8, Own: 9, Learned: 9.25, Slices: []float64{4, 5}, LearnedSlices: []float64{4, 5.25}},
	}
	wire.PackCounts(counts)
	return proto.MarshalOptions{Deterministic: true}.Marshal(&wire.AddRequest{Front: "front-1", Incarnation: 3, Counts: counts})
}
