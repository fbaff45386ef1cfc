package disk

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// DualFile stores one small value that is often replaced. Writes alternate between two
// files, so that a torn write leaves the previous value intact. OpenDualFile opens one;
// it is not safe for concurrent use.
type DualFile struct {
	folder Folder
	names  [2]string
	serial uint64 // serial number of the latest value; 0 if there is none
}

// A file contains the value's serial number, the value, and a checksum of both. The
// sizes are in bytes.
const (
	serialSize   = 8
	checksumSize = 8
)

// OpenDualFile opens the pair with the given name in a folder. It returns the latest
// complete value, or nil if there is none.
func OpenDualFile(folder Folder, name string) (*DualFile, []byte) {
	p := &DualFile{folder: folder, names: [2]string{name + "-a", name + "-b"}}
	var latest []byte
	for _, file := range p.names {
		data, err := folder.Read(file)
		if err != nil || len(data) < serialSize+checksumSize {
			continue // the file was never written, or the write was torn
		}
		body, sum := data[:len(data)-checksumSize], data[len(data)-checksumSize:]
		if xxhash.Sum64(body) != binary.LittleEndian.Uint64(sum) {
			continue // the write was torn
		}
		if serial := binary.LittleEndian.Uint64(body); serial > p.serial {
			p.serial, latest = serial, body[serialSize:]
		}
	}
	return p, latest
}

// Write replaces the value durably. After an error the stored value is either the
// previous or the new one, and Write may be called again.
func (p *DualFile) Write(value []byte) error {
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
