package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// buildProgram builds linenscaled and returns the path of the binary.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "linenscaled")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return program
}

// TestReloadBeforeSettingsAreRead guards against a member that ends because it is asked to
// reload its settings while it starts. Its settings file is a named pipe, so it can't have
// read them when the signal arrives.
func TestReloadBeforeSettingsAreRead(t *testing.T) {
	program := buildProgram(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	must.NoError(t, syscall.Mkfifo(path, 0o600))
	cmd := exec.Command(program, "member", "--check", "--settings", path)
	must.NoError(t, cmd.Start())
	settings, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the process opens it
	must.NoError(t, err)
	must.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	example, err := os.ReadFile("../../examples/members/gateway.yaml")
	must.NoError(t, err)
	_, _ = settings.Write(example) // fails if the process has ended
	must.NoError(t, settings.Close())
	must.NoError(t, cmd.Wait())
}
