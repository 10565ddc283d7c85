// Package frame writes and reads protobuf messages with a length before them.
package frame

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

// MaxMessageSize is the largest message in bytes: a payload or output of 1 MB and its description.
const MaxMessageSize = 2 << 20

// Write fails with TooLarge before anything was sent.
func Write(w io.Writer, m proto.Message) error {
	if size := proto.Size(m); size > MaxMessageSize {
		return fault.New(fault.TooLarge, "message of %d bytes; the limit is %d", size, MaxMessageSize)
	}
	_, err := protodelim.MarshalTo(w, m)
	return err
}

// malformed is an error of Read: the peer sent bytes that are no message.
type malformed struct{ error }

func (m malformed) Unwrap() error { return m.error }

// MarkMalformed marks an error of what the peer sent.
func MarkMalformed(err error) error { return malformed{err} }

// IsMalformed reports whether the peer sent bytes that are no message, and not only the connection broke.
func IsMalformed(err error) bool {
	var m malformed
	return errors.As(err, &m)
}

// Read reads one message of at most Max bytes.
func Read(r *bufio.Reader, m proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: MaxMessageSize}.UnmarshalFrom(r, m)
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
