package cellnode

import (
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
)

// logPanics logs a panic in the request of a caller, and ends its connection without a response: it is not known how far the request
// got.
func logPanics(handler http.Handler, log *slog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if p := recover(); p != nil {
				log.Error("panic in a call of a caller", "path", r.URL.Path, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
				panic(http.ErrAbortHandler)
			}
		}()
		handler.ServeHTTP(w, r)
	})
}
