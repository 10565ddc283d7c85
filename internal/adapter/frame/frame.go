// Package frame transfers length-prefixed protobuf messages, and multiplexes streams over one connection.
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

// MaxMessageSize is the maximum size of a message in bytes. It leaves room for a payload or output of 1 MB and its metadata.
const MaxMessageSize = 2 << 20

// Write writes one message. If the message exceeds the maximum size, it fails with TooLarge and sends nothing.
func Write(w io.Writer, m proto.Message) error {
	if size := proto.Size(m); size > MaxMessageSize {
		return fault.New(fault.TooLarge, "message of %d bytes exceeds the limit of %d bytes", size, MaxMessageSize)
	}
	_, err := protodelim.MarshalTo(w, m)
	return err
}

// malformedError marks an error that is caused by invalid data from the peer.
type malformedError struct{ error }

func (m malformedError) Unwrap() error { return m.error }

// MarkMalformed marks err as caused by invalid data from the peer.
func MarkMalformed(err error) error { return malformedError{err} }

// IsMalformed reports whether err is caused by invalid data from the peer, as opposed to a broken connection.
func IsMalformed(err error) bool {
	var m malformedError
	return errors.As(err, &m)
}

// Read reads one message of at most MaxMessageSize bytes. Errors other than those of the connection are marked as malformed.
func Read(r *bufio.Reader, m proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: MaxMessageSize}.UnmarshalFrom(r, m)
	if err == nil || isTransportError(err) {
		return err
	}
	return malformedError{err}
}

// isTransportError reports whether err comes from the connection, as opposed to the received data.
func isTransportError(err error) bool {
	var network net.Error
	var stream *yamux.NetError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) ||
		errors.As(err, &stream) || errors.Is(err, net.ErrClosed) || isYamuxError(err)
}

func isYamuxError(err error) bool {
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
