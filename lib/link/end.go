package link

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// Expired is a deadline that ends a read or a write at once.
var Expired = time.Unix(1, 0)

// IsRegularEnd reports whether a reader that arrived at the end of a connection has all
// bytes that the peer sent. The argument is the first error of a write on the
// connection, or nil if there was none. No write may be in progress.
//
// The kernel reports the error that ended a connection, such as a reset, only to the
// first system call after it. If that is a write, the reader sees a regular end. A
// broken pipe is the error of a write after a reset that followed the regular end, and
// a passed deadline is none of the connection.
func IsRegularEnd(writeErr error) bool {
	return writeErr == nil || errors.Is(writeErr, syscall.EPIPE) || errors.Is(writeErr, os.ErrDeadlineExceeded)
}
