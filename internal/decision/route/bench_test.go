package route

import (
	"fmt"
	"testing"
	"time"

	"stepwick/internal/wire"
)

func benchChoose(b *testing.B, servers int, prefix bool) {
	table := tableOf(viewOf(fleet(servers), "n1"))
	reqs := make([]Request, 512)
	for i := range reqs {
		reqs[i] = Request{ID: fmt.Sprintf("r%d", i), Service: "chat", FromRegion: "lagos", Deadline: start.Add(time.Minute)}
		if prefix {
			reqs[i].Prefix = splitMix64(uint64(i) + 1)
		}
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		choice := table.Choose(reqs[i%len(reqs)], start)
		table.Started(choice.Server)
		table.Finished(choice.Server, Outcome{Result: Answered}, start)
		i++
	}
}

func BenchmarkChoosePrefix21(b *testing.B)    { benchChoose(b, 21, true) }
func BenchmarkChoosePrefix12000(b *testing.B) { benchChoose(b, 12000, true) }
func BenchmarkChoosePlain21(b *testing.B)     { benchChoose(b, 21, false) }
func BenchmarkChoosePlain12000(b *testing.B)  { benchChoose(b, 12000, false) }

func BenchmarkUpdateOneOf12000(b *testing.B) {
	servers := fleet(12000)
	view := viewOf(servers, "n1")
	table := tableOf(view)
	b.ReportAllocs()
	i := uint32(0)
	for b.Loop() {
		b.StopTimer()
		i++
		view.Servers = withServer(servers, "m7", func(s *wire.ServerStatus) { s.Running = i % 16 })
		b.StartTimer()
		table.Update(view)
	}
}
