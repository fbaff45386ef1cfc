// This file defines the fingerprint of a request.

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"strconv"
)

// Fingerprint identifies requests that an engine can't tell apart: those with the same
// caller, target and body. Zero means no fingerprint. It is a truncated SHA-256 sum: with
// a faster, non-cryptographic hash a caller could craft a request that collides with
// another caller's and get that one quarantined.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request; it is never zero. caller is the
// client account, or whatever else identifies the caller; target is the path with the
// query.
func FingerprintOf(caller, method, host, target string, body []byte) Fingerprint {
	sum := sha256.New()
	for _, text := range []string{caller, method, host, target} {
		writeText(sum, text)
	}
	sum.Write(body)
	return Fingerprint(max(1, binary.BigEndian.Uint64(sum.Sum(nil))))
}

// writeText writes a text prefixed with its length, so that different splits of the same
// bytes into texts hash differently.
func writeText(sum hash.Hash, text string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(text)))
	sum.Write(length[:])
	sum.Write([]byte(text))
}

// String returns the hexadecimal form used in logs.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }
