package journalwire

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Seal puts the version and the checksum before a message that may be malformed.
func Seal(message []byte) []byte {
	value := append([]byte{version}, binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(message))...)
	return append(value, message...)
}
