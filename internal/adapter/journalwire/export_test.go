package journalwire

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// AddHeader puts the version and the checksum before a message, which may be malformed.
func AddHeader(message []byte) []byte {
	value := append([]byte{version}, binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(message))...)
	return append(value, message...)
}
