package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/juju/errors"
)

// timelineFile is the file, beside the hosts' logs, that says what was injected and what
// operators were answered.
const timelineFile = "timeline.log"

// Timeline writes what happens in a run, in the format of the hosts' logs. It is safe for
// concurrent use. NewTimeline makes one.
type Timeline struct {
	mu   sync.Mutex
	file *os.File
}

// NewTimeline opens the timeline of a run in its folder.
func NewTimeline(dir string) (*Timeline, error) {
	file, err := os.Create(filepath.Join(dir, timelineFile))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Timeline{file: file}, nil
}

// Record writes one line, whose fields are given as key=value.
func (l *Timeline) Record(event, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.file, "ts=%s msg=%q %s\n", time.Now().UTC().Format(time.RFC3339Nano), event, fmt.Sprintf(format, args...))
}

// Close ends the timeline.
func (l *Timeline) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return errors.Trace(l.file.Close())
}
