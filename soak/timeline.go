package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/juju/errors"
)

// timelineFile is the file, beside the hosts' logs, that lists the injected faults and
// the answers to operators.
const timelineFile = "timeline.log"

// Timeline writes the events of a run to a file, in the format of the hosts' logs. It is
// safe for concurrent use. NewTimeline makes one.
type Timeline struct {
	mu   sync.Mutex
	file *os.File
}

// NewTimeline creates the timeline file of a run in dir.
func NewTimeline(dir string) (*Timeline, error) {
	file, err := os.Create(filepath.Join(dir, timelineFile))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Timeline{file: file}, nil
}

// Record writes one line; format and args give its fields as key=value.
func (l *Timeline) Record(event, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.file, "ts=%s msg=%q %s\n", time.Now().UTC().Format(time.RFC3339Nano), event, fmt.Sprintf(format, args...))
}

// Close closes the file. Lines recorded later are lost.
func (l *Timeline) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return errors.Trace(l.file.Close())
}
