package gate

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

// sendRaw returns a handler that takes over the connection, writes text and closes the
// connection.
func sendRaw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		io.WriteString(c, text)
	}
}

// TestBrokenAnswers guards against answers that HTTP does not allow and that the gate
// passes on to the entry.
func TestBrokenAnswers(t *testing.T) {
	const (
		first  = "HTTP/1.1 200 OK\r\n"
		length = "Content-Length: 2\r\n"
	)
	var out strings.Builder
	for _, c := range []struct{ name, text string }{
		{"whole", first + length + "\r\nhi"},
		{"whole after an informational answer", "HTTP/1.1 103 x\r\nLink: a\r\n\r\n" + first + length + "\r\nhi"},
		{"status 000", "HTTP/1.1 000 x\r\n" + length + "\r\nhi"},
		{"status 099", "HTTP/1.1 099 x\r\n" + length + "\r\nhi"},
		{"status 600", "HTTP/1.1 600 x\r\n" + length + "\r\nhi"},
		{"switch of the protocol", "HTTP/1.1 101 x\r\n\r\n" + first + length + "\r\nhi"},
	} {
		b := newTestGate(t, sendRaw(c.text))
		e := b.entry()
		e.reserve(true, 0, time.Minute)
		fmt.Fprintf(&out, "%s: %s\n", c.name, e.remainingMessages())
	}
	golden.Check(t, "broken", out.String())
}
