package frame

import (
	"context"
	"errors"
	"net"
	"time"

	"skylarkstall/internal/pause"
)

// acceptRetryDelay is the time until a failed attempt to accept a connection is repeated.
const acceptRetryDelay = 50 * time.Millisecond

// Accept returns the next connection. An attempt fails when, for example, the process has no file descriptor left; that is reported
// to failed, and the attempt is repeated. Accept fails once the listener is closed or the context ends.
func Accept(ctx context.Context, listener net.Listener, failed func(error)) (net.Conn, error) {
	for {
		conn, err := listener.Accept()
		if err == nil || ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		failed(err)
		pause.For(ctx, acceptRetryDelay)
	}
}
