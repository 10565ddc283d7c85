// Package peerwire carries calls between the processes of a cell: one yamux session for each pair of processes, one
// stream for each call, protobuf messages with a length before them.
package peerwire

import (
	"bufio"
	"errors"
	"io"
	"net"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"skylarkstall/internal/fault"
)

// writeFrame fails with TooLarge before anything was sent.
func writeFrame(w io.Writer, m proto.Message) error {
	if size := proto.Size(m); size > MaxFrame {
		return fault.New(fault.TooLarge, "message of %d bytes; the limit is %d", size, MaxFrame)
	}
	_, err := protodelim.MarshalTo(w, m)
	return err
}

// malformed is an error of readFrame: the peer sent bytes that are no message.
type malformed struct{ error }

func isMalformed(err error) bool {
	var m malformed
	return errors.As(err, &m)
}

// readFrame reads one message of at most MaxFrame bytes.
func readFrame(r *bufio.Reader, m proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrame}.UnmarshalFrom(r, m)
	if err == nil || isTransport(err) {
		return err
	}
	return malformed{err}
}

// isTransport reports whether the error comes from the connection and not from the bytes.
func isTransport(err error) bool {
	var network net.Error
	var stream *yamux.NetError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) ||
		errors.As(err, &stream) || errors.Is(err, net.ErrClosed) || isYamux(err)
}

func isYamux(err error) bool {
	for _, known := range []error{
		yamux.ErrSessionShutdown, yamux.ErrStreamClosed, yamux.ErrConnectionReset, yamux.ErrTimeout,
		yamux.ErrConnectionWriteTimeout, yamux.ErrStreamsExhausted, yamux.ErrKeepAliveTimeout, yamux.ErrRemoteGoAway,
	} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}
