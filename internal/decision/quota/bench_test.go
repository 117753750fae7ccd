package quota

import (
	"math/rand/v2"
	"runtime"
	"strconv"
	"testing"

	"google.golang.org/protobuf/proto"

	"stepwick/internal/wire"
)

// newFleet returns the limiter of the first front with active tenants, an empty counter
// and the fronts' names.
func newFleet(tenants, fronts int) (*Limiter, *Counter, []string) {
	names := make([]string, fronts)
	for i := range names {
		names[i] = "front-" + strconv.Itoa(i)
	}
	limiter := NewLimiter(names[0], Config{})
	counter := NewCounter("a", 1, Config{})
	limiter.SetFronts(names)
	for i := range tenants {
		tenant := "tenant-" + strconv.Itoa(i)
		for seconds := 0.0; seconds < 1; seconds += 0.25 {
			limiter.Admit(tenant, 10, Allowance{Rate: 1000, Burst: 1000}, atSecond(4+seconds))
		}
	}
	return limiter, counter, names
}

var sizes = []int{5, 100, 1000, 14000}

func BenchmarkAdmit(b *testing.B) {
	for _, tenants := range sizes {
		limiter, _, _ := newFleet(tenants, 9)
		names := make([]string, tenants)
		for i := range names {
			names[i] = "tenant-" + strconv.Itoa(i)
		}
		for _, kind := range []struct {
			name string
			rate float64
		}{{"allowed", 1e9}, {"rejected", 1e-3}} {
			b.Run(kind.name+"/tenants="+strconv.Itoa(tenants), func(b *testing.B) {
				random := rand.New(rand.NewPCG(1, 1))
				b.ReportAllocs()
				for b.Loop() {
					limiter.Admit(names[random.IntN(tenants)], 1, Allowance{Rate: kind.rate}, atSecond(5))
				}
			})
		}
	}
}

// BenchmarkExchange measures an exchange of the counts of all tenants. It reports the
// bytes sent and received, and the memory per tenant at the front and at the owner.
func BenchmarkExchange(b *testing.B) {
	for _, tenants := range sizes {
		for _, fronts := range []int{9, 410} {
			if tenants*fronts > 1_000_000 {
				continue
			}
			b.Run("tenants="+strconv.Itoa(tenants)+"/fronts="+strconv.Itoa(fronts), func(b *testing.B) {
				base := heapBytes()
				limiter, counter, names := newFleet(tenants, fronts)
				frontBytes := float64(heapBytes()-base) / float64(tenants)
				base = heapBytes()
				counts := limiter.CountsToSend(atSecond(5), ownerA)["a"]
				requestBytes, responseBytes := 0, 0
				for _, name := range names {
					req := &wire.AddRequest{Front: name, Incarnation: 1, Counts: counts}
					resp := counter.Add(req, atSecond(5))
					requestBytes = proto.Size(req)
					responseBytes = proto.Size(resp)
				}
				ownerBytes := float64(heapBytes()-base) / float64(tenants)
				for b.Loop() {
					limiter.CountsToSend(atSecond(5.2), ownerA)
				}
				b.ReportMetric(frontBytes, "front-B/tenant")
				b.ReportMetric(ownerBytes, "holder-B/tenant")
				b.ReportMetric(float64(requestBytes), "out-B")
				b.ReportMetric(float64(responseBytes), "back-B")
				runtime.KeepAlive(counter)
			})
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
