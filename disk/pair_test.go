package disk_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/disk"
)

// TestPairReturnsNewestCompleteValue guards against a torn write that makes the
// previous value unreadable, or that blocks later writes.
func TestPairReturnsNewestCompleteValue(t *testing.T) {
	folder := disk.NewMemory()
	pair, value := disk.OpenDualFile(folder, "mark")
	must.Nil(t, value)
	must.NoError(t, pair.Write([]byte("one")))
	must.NoError(t, pair.Write([]byte("two")))
	folder.Crash(0)
	pair, value = disk.OpenDualFile(folder, "mark")
	must.Eq(t, "two", string(value))

	// The disk stores half of the next value; the previous value must remain readable.
	folder.SetFull(true)
	must.Error(t, pair.Write([]byte("three")))
	folder.SetFull(false)
	folder.Crash(9)
	pair, value = disk.OpenDualFile(folder, "mark")
	must.Eq(t, "two", string(value))
	must.NoError(t, pair.Write([]byte("four")))
	_, value = disk.OpenDualFile(folder, "mark")
	must.Eq(t, "four", string(value))
}
