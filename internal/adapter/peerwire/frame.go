// Package peerwire carries calls between the processes of a cell: one yamux session for each pair of processes, one
// stream for each call, protobuf messages with a length before them.
package peerwire

import (
	"bufio"
	"errors"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"skylarkstall/internal/fault"
)

// MaxFrame is the largest message in bytes: a payload or output of 1 MB and its description.
const MaxFrame = 2 << 20

func writeFrame(w io.Writer, m proto.Message) error {
	if size := proto.Size(m); size > MaxFrame {
		return fault.New(fault.TooLarge, "message of %d bytes; the limit is %d", size, MaxFrame)
	}
	_, err := protodelim.MarshalTo(w, m)
	return err
}

func readFrame(r *bufio.Reader, m proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrame}.UnmarshalFrom(r, m)
	var tooLarge *protodelim.SizeTooLargeError
	if errors.As(err, &tooLarge) {
		return fault.As(fault.TooLarge, err, "read a message")
	}
	return err
}
