package disk_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/disk"
)

func TestAPairKeepsTheNewestWholeValue(t *testing.T) {
	folder := disk.NewMemory()
	p, value := disk.OpenPair(folder, "mark")
	must.Nil(t, value)
	must.NoError(t, p.Write([]byte("one")))
	must.NoError(t, p.Write([]byte("two")))
	folder.Crash(0)
	p, value = disk.OpenPair(folder, "mark")
	must.Eq(t, "two", string(value))

	// The disk takes half of the next value: the one before holds.
	folder.SetFull(true)
	must.Error(t, p.Write([]byte("three")))
	folder.SetFull(false)
	folder.Crash(9)
	p, value = disk.OpenPair(folder, "mark")
	must.Eq(t, "two", string(value))
	must.NoError(t, p.Write([]byte("four")))
	_, value = disk.OpenPair(folder, "mark")
	must.Eq(t, "four", string(value))
}
