package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what happened, in the order in which it was seen. It is safe for
// concurrent use.
type record struct {
	mutex    sync.Mutex
	began    time.Time
	file     *os.File
	writer   *bufio.Writer
	arrivals []arrival
}

// arrival is a request that a server began to run.
type arrival struct {
	at        time.Time
	requestID string
	server    string
	zone      string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// add writes a line with the time since the start.
func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.writer, "%8.3f s  ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.writer, format, values...)
	fmt.Fprintln(r.writer)
}

// addArrival records a request that a server runs.
func (r *record) addArrival(entry arrival) {
	r.add("run       %s by %s in %s", entry.requestID, entry.server, entry.zone)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.arrivals = append(r.arrivals, entry)
}

// arrivalsBetween returns the requests that were run in a span of time.
func (r *record) arrivalsBetween(from, to time.Time) []arrival {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var found []arrival
	for _, entry := range r.arrivals {
		if entry.at.After(from) && entry.at.Before(to) {
			found = append(found, entry)
		}
	}
	return found
}

// since returns the time of an instant since the start, in seconds.
func (r *record) since(instant time.Time) float64 { return instant.Sub(r.began).Seconds() }

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
