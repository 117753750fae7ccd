package internalrpc

import (
	"compress/gzip"
	"io"

	"connectrpc.com/connect"
)

// maxGzipWriters is how many answers a process compresses at once. A writer takes
// 1.2 MB, and a core sends its snapshot to many processes at once.
const maxGzipWriters = 2

// gzipWriters holds the writers that a handler's answers share; nil stands for one
// that is not allocated yet.
type gzipWriters chan *gzip.Writer

func newGzipWriters() gzipWriters {
	writers := make(gzipWriters, maxGzipWriters)
	for range maxGzipWriters {
		writers <- nil
	}
	return writers
}

// take waits for a free writer and directs it to the destination.
func (w gzipWriters) take(destination io.Writer) *gzip.Writer {
	writer := <-w
	if writer == nil {
		writer, _ = gzip.NewWriterLevel(destination, gzip.BestSpeed)
		return writer
	}
	writer.Reset(destination)
	return writer
}

// sharedCompressor compresses one answer at a time. It holds a shared writer from
// the first byte of an answer until it is closed.
type sharedCompressor struct {
	writers     gzipWriters
	writer      *gzip.Writer // nil while it holds none
	destination io.Writer
}

// Reset sets where the next answer is written.
func (c *sharedCompressor) Reset(destination io.Writer) { c.destination = destination }

// Write compresses a part of an answer.
func (c *sharedCompressor) Write(data []byte) (int, error) {
	if c.writer == nil {
		c.writer = c.writers.take(c.destination)
	}
	return c.writer.Write(data)
}

// Close ends an answer and frees the writer.
func (c *sharedCompressor) Close() error {
	if c.writer == nil {
		return nil
	}
	err := c.writer.Close()
	c.writer.Reset(io.Discard)
	c.writers <- c.writer
	c.writer = nil
	return err
}

// sharedGzip compresses at the lowest level: a core sends the same large snapshot to
// many processes at once.
func sharedGzip() connect.HandlerOption {
	writers := newGzipWriters()
	return connect.WithCompression("gzip",
		func() connect.Decompressor { return &gzip.Reader{} },
		func() connect.Compressor { return &sharedCompressor{writers: writers} })
}
