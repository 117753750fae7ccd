package internalrpc

import (
	"bytes"
	"compress/gzip"
	"io"
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// allocatedBy returns the number of bytes allocated during a function call.
func allocatedBy(run func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against one gzip writer per concurrent response: the snapshots for 54
// restarted fronts took 65 MB of writers at a core.
func TestAnswersAtOnceShareGzipWriters(t *testing.T) {
	Convey("Responses compressed concurrently share maxGzipWriters writers, and each is complete", t, func() {
		const answers, writerBytes = 64, 1_300_000
		data := bytes.Repeat([]byte("a snapshot "), 4000)
		writers := newGzipWriters()
		compressed := make([]bytes.Buffer, answers)
		allocated := allocatedBy(func() {
			done := make(chan error, answers)
			for i := range answers {
				go func() {
					compressor := &sharedCompressor{writers: writers}
					compressor.Reset(&compressed[i])
					_, err := compressor.Write(data)
					if closed := compressor.Close(); err == nil {
						err = closed
					}
					done <- err
				}()
			}
			for range answers {
				if err := <-done; err != nil {
					t.Error(err)
				}
			}
		})
		So(allocated, ShouldBeLessThan, (maxGzipWriters+1)*writerBytes)
		for i := range compressed {
			reader, err := gzip.NewReader(&compressed[i])
			So(err, ShouldBeNil)
			plain, err := io.ReadAll(reader)
			So(err, ShouldBeNil)
			So(bytes.Equal(plain, data), ShouldBeTrue)
		}
	})
}
