package answer

import (
	"fmt"
	"strings"
	"testing"

	"cassiarack.example/lib/golden"
)

// TestScanner guards against heads that the scanner accepts although they are
// malformed, heads that it rejects because of bytes that belong to a value or to the
// body, and results that depend on how the bytes arrive.
func TestScanner(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\n"
	var b strings.Builder
	for _, c := range []struct{ name, text string }{
		{"well-formed", first + "Content-Length: 2\r\nX-Other:a:b c\r\n\r\nhi"},
		{"no fields", first + "\r\n"},
		{"all bytes of a token", first + "!#$%&'*+-.^_`|~09azAZ: 1\r\n\r\n"},
		{"line feeds alone", "HTTP/1.1 200 OK\nContent-Length: 2\n\nhi"},
		{"empty value", first + "X-Other:\r\n\r\n"},
		{"bytes of the body", first + "Content-Length: 9\r\n\r\n X Y: 1\r\n"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nhi"},
		{"HTTP/1.0 in chunks", "HTTP/1.0 200 OK\r\nTransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
		{"HTTP/1.0, longer name", "HTTP/1.0 200 OK\r\nTransfer-Encodings: x\r\nX-Transfer-Encoding: x\r\nTransfer: x\r\n\r\n"},
		{"HTTP/1.1 in chunks", first + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nhi"},
		{"no version", "\x00\x01\r\n\r\n"},
		{"two spaces before the status", "HTTP/1.1  103 x\r\n\r\n" + first + "X Other: 1\r\n\r\n"},
		{"status with a sign", "HTTP/1.1 +20 x\r\n\r\n"},
		{"space in a name", first + "X Other: 1\r\n\r\n"},
		{"space behind a name", first + "Content-Length : 2\r\n\r\nhi"},
		{"tab behind a name", first + "Content-Length\t: 2\r\n\r\nhi"},
		{"space before the first name", first + " X-Other: 1\r\n\r\n"},
		{"space before a name", first + "X-Other: 1\r\n Content-Length: 2\r\n\r\nhi"},
		{"tab before a name", first + "X-Other: 1\r\n\tContent-Length: 2\r\n\r\nhi"},
		{"line of spaces", first + "X-Other: 1\r\n  \r\nContent-Length: 2\r\n\r\nhi"},
		{"NUL in a name", first + "X\x00Other: 1\r\n\r\n"},
		{"carriage return in a name", first + "X\rOther: 1\r\n\r\n"},
		{"DEL in a name", first + "X\x7fOther: 1\r\n\r\n"},
		{"byte above 0x7F in a name", first + "X\xe9: 1\r\n\r\n"},
		{"no name", first + ": 1\r\n\r\n"},
		{"no colon", first + "X-Other\r\n\r\n"},
		{"carriage return alone", first + "\rX: 1\r\n\r\n"},
		{"after an informational head", "HTTP/1.1 103 x\r\nLink: a\r\n\r\n" + first + "X Other: 1\r\n\r\n"},
		{"in an informational head", "HTTP/1.1 103 x\r\nX Other: a\r\n\r\n" + first + "\r\n"},
	} {
		var whole, single Scanner
		whole.Scan([]byte(c.text))
		for n := range c.text {
			single.Scan([]byte(c.text[n : n+1]))
		}
		if fmt.Sprint(whole.Err()) != fmt.Sprint(single.Err()) {
			t.Errorf("%s: %v at once, %v byte by byte", c.name, whole.Err(), single.Err())
		}
		fmt.Fprintf(&b, "%s: %v\n", c.name, whole.Err())
	}
	golden.Check(t, "scanner", b.String())
}
