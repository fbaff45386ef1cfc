package disk

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Pair keeps one small value that is written again and again. Two files take
// turns, so that one of them is whole when a write is torn. OpenPair makes one;
// it is not safe for concurrent use.
type Pair struct {
	folder Folder
	names  [2]string
	serial uint64 // of the newest value
}

// A file holds the value's serial, the value, and the checksum of both.
const (
	serialSize   = 8
	checksumSize = 8
)

// OpenPair opens the pair of that name in a folder, and gives the newest whole
// value; nil where there is none.
func OpenPair(folder Folder, name string) (*Pair, []byte) {
	p := &Pair{folder: folder, names: [2]string{name + "-a", name + "-b"}}
	var newest []byte
	for _, file := range p.names {
		data, err := folder.Read(file)
		if err != nil || len(data) < serialSize+checksumSize {
			continue // none was written, or the write was torn
		}
		body, sum := data[:len(data)-checksumSize], data[len(data)-checksumSize:]
		if xxhash.Sum64(body) != binary.LittleEndian.Uint64(sum) {
			continue // torn
		}
		if serial := binary.LittleEndian.Uint64(body); serial > p.serial {
			p.serial, newest = serial, body[serialSize:]
		}
	}
	return p, newest
}

// Write replaces the value; it lasts once Write has returned.
func (p *Pair) Write(value []byte) error {
	serial := p.serial + 1
	data := binary.LittleEndian.AppendUint64(make([]byte, 0, serialSize+len(value)+checksumSize), serial)
	data = append(data, value...)
	data = binary.LittleEndian.AppendUint64(data, xxhash.Sum64(data))
	file, err := p.folder.Create(p.names[serial%2])
	if err != nil {
		return errors.Trace(err)
	}
	defer file.Close()
	if _, err := file.Write(data); err != nil {
		return errors.Trace(err)
	}
	if err := file.Sync(); err != nil {
		return errors.Trace(err)
	}
	if err := p.folder.Sync(); err != nil {
		return errors.Trace(err)
	}
	p.serial = serial
	return nil
}
