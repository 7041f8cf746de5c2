package link

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// Expired is a deadline that ends a read or a write at once.
var Expired = time.Unix(1, 0)

// IsRegularEnd reports whether the peer closed a connection regularly, after a read has
// returned io.EOF. The argument is the first error of a write on the connection, or nil
// if there was none. No write may be in progress.
//
// The kernel reports a reset only to the first system call after it. If that is a write,
// the next read returns io.EOF although bytes are missing. Two errors of a write do not
// mean this: EPIPE, which is returned for a reset that arrived after the regular end, and
// an expired deadline, which says nothing about the connection.
func IsRegularEnd(writeErr error) bool {
	return writeErr == nil || errors.Is(writeErr, syscall.EPIPE) || errors.Is(writeErr, os.ErrDeadlineExceeded)
}
