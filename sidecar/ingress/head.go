package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strings"
	"time"

	"cassiarack.example/platform"
	"cassiarack.example/sidecar/memory"
	"cassiarack.example/sidecar/message"
)

// slowestBody is the rate in bytes a second below which a body is refused: that of a
// link of 10 Mbit/s that is narrowed 36 times.
const slowestBody = 10e6 / 8 / 36

// refusal is the status and body of the response to a request that is not
// handled.
type refusal struct {
	status int
	text   string
}

// Error implements error.
func (r *refusal) Error() string { return r.text }

// readHead reads the head of a request and returns it with the time at which
// its first byte was read. The error is a *refusal if the client gets a
// response.
func (c *conn) readHead() (*http.Request, time.Time, error) {
	limits := c.service.limits()
	if err := c.awaitHead(limits.IdleTimeout); err != nil {
		return nil, time.Time{}, err
	}
	received := time.Now()
	if err := c.net.SetReadDeadline(received.Add(limits.HeaderTimeout)); err != nil {
		return nil, received, err
	}
	text, err := c.readHeadText(limits.HeaderBytes)
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return nil, received, &refusal{http.StatusRequestTimeout, "the header took too long"}
		}
		return nil, received, err
	}
	head, err := parseHead(text)
	if err != nil {
		return nil, received, err
	}
	return head, received, c.net.SetReadDeadline(time.Time{})
}

// awaitHead waits for the first byte of a request. It returns errIdle when the
// connection has been idle for limit.
func (c *conn) awaitHead(limit time.Duration) error {
	for {
		now := time.Now()
		until := c.idleDeadline(now, limit)
		if !now.Before(until) {
			return errIdle
		}
		if err := c.net.SetReadDeadline(until); err != nil {
			return err
		}
		if c.isClosing() {
			return errClosing
		}
		_, err := c.reader.Peek(1)
		var timeout net.Error
		switch {
		case err == nil:
			return nil
		case !errors.As(err, &timeout) || !timeout.Timeout():
			return err
		}
	}
}

// errIdle ends the reading of a connection that has been idle for too long.
var errIdle = errors.New("ingress: the connection was idle for too long")

// errClosing ends the reading of a connection that is closing. It is a *refusal
// so that the client still gets the responses to earlier requests.
var errClosing = &refusal{}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// readHeadText reads the text of a head up to and including the empty line. It
// refuses a head of more than limit bytes.
func (c *conn) readHeadText(limit int) ([]byte, error) {
	var text []byte
	for {
		line, err := c.reader.ReadSlice('\n')
		text = append(text, line...)
		switch {
		case len(text) > limit:
			return nil, &refusal{http.StatusRequestHeaderFieldsTooLarge, "the header is too large"}
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return nil, err
		}
		if len(text) == len(line) && len(bytes.TrimRight(line, "\r\n")) == 0 {
			// Empty lines before a request are skipped.
			text = text[:0]
			continue
		}
		if bytes.HasSuffix(text, []byte("\r\n\r\n")) {
			return text, nil
		}
	}
}

// parseHead parses the head of a request. It refuses a head that different HTTP
// parsers could read as different requests.
func parseHead(text []byte) (*http.Request, error) {
	if err := checkLines(text); err != nil {
		return nil, err
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
	if err != nil {
		return nil, &refusal{http.StatusBadRequest, "the request cannot be parsed"}
	}
	if r.ProtoMajor != 1 || r.Host == "" || !strings.HasPrefix(r.URL.Path, "/") {
		return nil, &refusal{http.StatusBadRequest, "the request names no host and path"}
	}
	if err := platform.CheckAttempt(r.Header); err != nil {
		return nil, &refusal{http.StatusBadRequest, "the request names several attempts"}
	}
	if !r.ProtoAtLeast(1, 1) {
		r.Close = true
	}
	return r, nil
}

// checkLines refuses a head with ambiguous line ends, header names or body
// length.
func checkLines(text []byte) error {
	lengths := 0
	lines := bytes.Split(text, []byte("\n"))
	for n, line := range lines[:len(lines)-1] {
		if !bytes.HasSuffix(line, []byte("\r")) || bytes.IndexByte(line, '\r') != len(line)-1 {
			return &refusal{http.StatusBadRequest, "a line does not end in CR LF"}
		}
		if n == 0 {
			continue
		}
		if line[0] == ' ' || line[0] == '\t' {
			return &refusal{http.StatusBadRequest, "a header is continued on another line"}
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		if len(bytes.TrimRight(name, " \t")) < len(name) {
			return &refusal{http.StatusBadRequest, "a header name ends in space"}
		}
		switch strings.ToLower(string(name)) {
		case "content-length", "transfer-encoding":
			lengths++
		}
	}
	if lengths > 1 {
		return &refusal{http.StatusBadRequest, "the length of the body is ambiguous"}
	}
	return nil
}

// readBody reads the whole body of a request. It refuses a body that is larger
// than the configured limit or message.MaxBody.
func (c *conn) readBody(r *http.Request) ([]byte, error) {
	limit := int64(message.MaxBody)
	if l := c.service.limits().BodyBytes; l > 0 {
		limit = min(limit, l)
	}
	chunked := len(r.TransferEncoding) > 0
	if !chunked && r.ContentLength <= 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, &refusal{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	var body []byte
	var err error
	if chunked {
		body, err = c.readChunked(r, int(limit))
	} else {
		body, err = c.readSized(r)
	}
	var refused *refusal
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errSlowBody
	case memory.IsKind(err, memory.KindTooLarge):
		return nil, &refusal{http.StatusRequestEntityTooLarge, "the body is too large"}
	case memory.IsKind(err, memory.KindExhausted):
		return nil, &refusal{http.StatusServiceUnavailable, "not run: the memory for bodies is in use"}
	case errors.As(err, &refused):
		return nil, refused
	case err != nil:
		return nil, fmt.Errorf("ingress: %w", err)
	}
	if err := c.net.SetReadDeadline(time.Time{}); err != nil {
		c.service.Bodies.Release(body)
		return nil, err
	}
	return body, nil
}

// readChunked reads a body of unknown size, at most limit bytes, with its trailer. It
// may take as long as one of limit bytes.
func (c *conn) readChunked(r *http.Request, limit int) ([]byte, error) {
	if err := c.sendContinue(r); err != nil {
		return nil, err
	}
	if err := c.net.SetReadDeadline(c.bodyDeadline(time.Now(), limit)); err != nil {
		return nil, err
	}
	body, err := c.service.Bodies.ReadAll(httputil.NewChunkedReader(c.reader), limit)
	if err != nil {
		return nil, err
	}
	if err := c.skipTrailer(); err != nil {
		c.service.Bodies.Release(body)
		return nil, err
	}
	return body, nil
}

// errSlowBody refuses a request whose body arrives too slowly.
var errSlowBody = &refusal{http.StatusRequestTimeout, "not run: the body took too long"}

// bodyDeadline returns when a body of the given size must have arrived that begins at
// now.
func (c *conn) bodyDeadline(now time.Time, size int) time.Time {
	return now.Add(c.service.limits().HeaderTimeout + time.Duration(float64(size)/slowestBody*float64(time.Second)))
}

// readSized reads a body whose size is known. Its memory is taken before the client is
// asked for it and before anything is read.
func (c *conn) readSized(r *http.Request) ([]byte, error) {
	body, err := c.service.Bodies.Make(int(r.ContentLength))
	if err != nil {
		return nil, err
	}
	if err = c.sendContinue(r); err == nil {
		err = c.fill(body)
	}
	if err != nil {
		c.service.Bodies.Release(body)
		return nil, err
	}
	return body, nil
}

// fill reads a body of known size. It is refused if it takes too long, and a large one,
// whose memory others wait for, also if nothing of it arrives for as long as a header
// may take.
func (c *conn) fill(body []byte) error {
	limit, until := c.service.limits().HeaderTimeout, c.bodyDeadline(time.Now(), len(body))
	for at := 0; at < len(body); {
		next := until
		if stalled := time.Now().Add(limit); len(body) > memory.Large && stalled.Before(until) {
			next = stalled
		}
		if err := c.net.SetReadDeadline(next); err != nil {
			return err
		}
		n, err := c.reader.Read(body[at:])
		at += n
		if err != nil && at < len(body) {
			return err
		}
	}
	return nil
}

// sendContinue asks a client that waits for it to send its body.
func (c *conn) sendContinue(r *http.Request) error {
	if !strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		return nil
	}
	_, err := io.WriteString(c.net, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// skipTrailer reads and discards the trailer after the last chunk. It refuses a
// trailer that is larger than the limit of a header.
func (c *conn) skipTrailer() error {
	left := c.service.limits().HeaderBytes
	for {
		line, err := c.reader.ReadSlice('\n')
		if err != nil {
			return fmt.Errorf("ingress: read trailer: %w", err)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		if left -= len(line); left < 0 {
			return &refusal{http.StatusRequestHeaderFieldsTooLarge, "the trailer is too large"}
		}
	}
}
