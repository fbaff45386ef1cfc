// This file starts, signals and ends the processes of hosts.

package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
)

// start starts a host's process, which writes its output to a log file of its own.
func (w *World) start(h *Host) error {
	data, err := yaml.Marshal(h.settings)
	if err != nil {
		return errors.Trace(err)
	}
	path := filepath.Join(w.Dir, h.Name+".yaml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return errors.Trace(err)
	}
	if h.log == nil {
		if h.log, err = os.Create(filepath.Join(w.Dir, h.Name+".log")); err != nil {
			return errors.Trace(err)
		}
	}
	logged := h.logSize()
	h.process = exec.Command(w.Program, "member", "--settings", path)
	h.process.Stdout, h.process.Stderr = h.log, h.log
	if err := h.process.Start(); err != nil {
		return errors.Trace(err)
	}
	h.paused = false
	h.endRequested.Store(false)
	w.Checker.RecordDisturbance(h.listenIP)
	h.settings.FirstStart = false
	exited, process := make(chan struct{}), h.process
	h.exited = exited
	w.group.Go(func() {
		err := process.Wait()
		close(exited)
		w.processEnded(h, process, err, h.logSize() > logged)
	})
	return nil
}

// logSize returns the size of a host's log, in bytes.
func (h *Host) logSize() int64 {
	info, err := h.log.Stat()
	if err != nil {
		return 0
	}
	return info.Size()
}

// unexpectedEndPause is the pause before a process that ended by itself is started again.
const unexpectedEndPause = time.Second

// processEnded reports a process that ended without being asked to, and starts it again as
// the platform does. hasLogged is whether the process has logged anything. The only end
// that isn't a violation is by a SIGHUP before that: no program can ask for the signal
// before its runtime has started. A process that another one has replaced was ended on purpose.
func (w *World) processEnded(h *Host, process *exec.Cmd, err error, hasLogged bool) {
	w.mu.Lock()
	if h.process != process || h.endRequested.Load() || h.restarting || w.ctx.Err() != nil {
		w.mu.Unlock()
		return
	}
	h.restarting = true
	w.mu.Unlock()
	w.Timeline.Record("process ended by itself", "host=%s error=%q logged=%t", h.Name, fmt.Sprint(err), hasLogged)
	var exit *exec.ExitError
	hungUp := errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signal() == syscall.SIGHUP
	if !hungUp || hasLogged {
		w.Checker.AddProblem("%s ended by itself: %v", h.Name, err)
	}
	time.Sleep(unexpectedEndPause)
	w.startExited(h)
}

// running reports whether a host's process hasn't exited.
func (h *Host) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to a host's process if it runs.
func (w *World) signal(h *Host, s syscall.Signal) {
	w.Checker.RecordDisturbance(h.listenIP)
	if h.running() {
		if s == syscall.SIGTERM || s == syscall.SIGKILL {
			h.endRequested.Store(true)
		}
		_ = h.process.Process.Signal(s) // it may have exited since the check
	}
}

// kill sends SIGKILL to a host's process and waits until it has exited.
func (w *World) kill(h *Host) {
	w.signal(h, syscall.SIGKILL)
	<-h.exited
}

// Stop kills the processes of all hosts and closes the timeline.
func (w *World) Stop() {
	for _, h := range w.Hosts {
		if h.process != nil {
			w.signal(h, syscall.SIGCONT)
			w.kill(h)
		}
	}
	_ = w.Timeline.Close() // it only helps to examine a failed run
}
