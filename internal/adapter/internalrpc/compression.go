package internalrpc

import (
	"compress/gzip"
	"io"

	"connectrpc.com/connect"
)

// maxGzipWriters limits how many responses a handler compresses at once. A writer takes
// 1.2 MB, and a core sends its snapshot to many processes at once.
const maxGzipWriters = 2

// gzipWriters is a pool of writers shared by a handler's responses. A nil element is a
// writer that is not allocated yet.
type gzipWriters chan *gzip.Writer

func newGzipWriters() gzipWriters {
	writers := make(gzipWriters, maxGzipWriters)
	for range maxGzipWriters {
		writers <- nil
	}
	return writers
}

// acquire waits for a free writer and resets it to write to the destination.
func (w gzipWriters) acquire(destination io.Writer) *gzip.Writer {
	writer := <-w
	if writer == nil {
		writer, _ = gzip.NewWriterLevel(destination, gzip.BestSpeed)
		return writer
	}
	writer.Reset(destination)
	return writer
}

// sharedCompressor compresses one response at a time. It holds a shared writer from the
// first byte of a response until Close.
type sharedCompressor struct {
	writers     gzipWriters
	writer      *gzip.Writer // nil if none is held
	destination io.Writer
}

// Reset sets the destination of the next response.
func (c *sharedCompressor) Reset(destination io.Writer) { c.destination = destination }

// Write compresses a part of a response.
func (c *sharedCompressor) Write(data []byte) (int, error) {
	if c.writer == nil {
		c.writer = c.writers.acquire(c.destination)
	}
	return c.writer.Write(data)
}

// Close ends a response and returns the writer to the pool.
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

// sharedGzip returns a handler option for gzip with pooled writers at the fastest level,
// since a core sends the same large snapshot to many processes at once.
func sharedGzip() connect.HandlerOption {
	writers := newGzipWriters()
	return connect.WithCompression("gzip",
		func() connect.Decompressor { return &gzip.Reader{} },
		func() connect.Compressor { return &sharedCompressor{writers: writers} })
}
