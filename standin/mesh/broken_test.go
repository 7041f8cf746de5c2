package mesh

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/golden"
)

// rawInstance is an instance that writes its answers byte for byte. Its sidecar
// reaches it without a proxy, so that a reset arrives as one.
type rawInstance struct {
	listener net.Listener
	signer   *Instance
	answer   atomic.Pointer[brokenAnswer]
}

// brokenAnswer is an answer that HTTP does not allow or that ends early.
type brokenAnswer struct {
	name string
	// statusLine is the first line of the answer; empty means that of a success.
	statusLine string
	// fields are the header lines beside those that identify the answer.
	fields string
	body   string
	// upload is the size of the request's body in bytes.
	upload int
	// resetAfter is the time from the answer, which the instance then sends before it
	// has read the request's body, to a reset. Zero means that the connection closes
	// regularly.
	resetAfter time.Duration
}

// attemptOfBody stands for the identifier of the request in the body of a
// brokenAnswer.
const attemptOfBody = "{attempt}"

// brokenRounds is how often each broken answer is sent, since the result may depend on
// which goroutine of a sidecar learns of a reset.
const brokenRounds = 8

// startRawInstance replaces the proxy and the instance of a VM.
func (m *Mesh) startRawInstance(v *VM) (*rawInstance, error) {
	v.instanceProxy.Stop()
	l, err := net.Listen("tcp", m.address(v.Index, portProxy).String())
	if err != nil {
		return nil, err
	}
	i := &rawInstance{listener: l, signer: v.Instance}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			i.serve(c.(*net.TCPConn))
		}
	}()
	return i, nil
}

// serve reads one request and writes the answer.
func (i *rawInstance) serve(c *net.TCPConn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	a := i.answer.Load()
	status := a.statusLine
	if status == "" {
		status = "HTTP/1.1 200 OK"
	}
	attempt := r.Header.Get("X-Cassiarack-Attempt-Id")
	text := status + "\r\n" + i.signer.identityHeaders(attempt) + a.fields + "\r\n" + strings.ReplaceAll(a.body, attemptOfBody, attempt)
	if a.resetAfter == 0 {
		// An error means that the sidecar closed the connection.
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, text)
		return
	}
	if _, err := io.WriteString(c, text); err == nil {
		time.Sleep(a.resetAfter)
		_ = c.SetLinger(0)
	}
}

// exchangeRaw sends a request that may run only once to the sidecar of a VM. It
// returns the status line and the body that the client gets.
func (m *Mesh) exchangeRaw(v *VM, attempt string, upload int) (string, error) {
	c, err := net.DialTimeout("tcp", m.address(v.Index, portCallers).String(), time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(clientDeadline + answerSlack)); err != nil {
		return "", err
	}
	if _, err := fmt.Fprintf(c, "POST /accept/x HTTP/1.1\r\nHost: mesh.example\r\nX-Cassiarack-Attempt-Id: %s\r\n"+
		"X-Cassiarack-Deadline-Ms: 2000\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", attempt, upload,
		largeBody(attempt, upload)); err != nil {
		return "", err
	}
	text, err := io.ReadAll(c)
	if err != nil {
		return "", err
	}
	head, body, _ := strings.Cut(string(text), "\r\n\r\n")
	line, _, _ := strings.Cut(head, "\r\n")
	return fmt.Sprintf("%s; %q", line, body), nil
}

// TestBrokenAnswers guards against answers of a faulty instance that reach the client
// as whole answers, through two sidecars: those with a status that does not exist, those
// of another protocol or version, those with a malformed field, whose body may end
// elsewhere, those whose head continues with that of another answer, and those without a length that end with a reset while the request is still
// being sent.
func TestBrokenAnswers(t *testing.T) {
	is := is.New(t)
	m := &Mesh{Program: program, Folder: t.TempDir(), Services: map[string]int{"alpha": 1, "beta": 1}, Network: 96,
		MaxBodyBytes: 64 << 20}
	defer m.Stop()
	is.NoErr(m.Start(t.Context()))
	vm := func(service string) *VM {
		return m.VMs[slices.IndexFunc(m.VMs, func(v *VM) bool { return v.Instance.Service == service })]
	}
	i, err := m.startRawInstance(vm("alpha"))
	is.NoErr(err)
	defer i.listener.Close()
	const length = "Content-Length: 2\r\n"
	var out strings.Builder
	for n, a := range []brokenAnswer{
		{name: "whole", fields: length, body: "hi"},
		{name: "status 000", statusLine: "HTTP/1.1 000 x", fields: length, body: "hi"},
		{name: "status 099", statusLine: "HTTP/1.1 099 x", fields: length, body: "hi"},
		{name: "status with a sign", statusLine: "HTTP/1.1 +20 x", fields: length, body: "hi"},
		{name: "status 600", statusLine: "HTTP/1.1 600 x", fields: length, body: "hi"},
		{name: "status 999", statusLine: "HTTP/1.1 999 x", fields: length, body: "hi"},
		{name: "last status", statusLine: "HTTP/1.1 599 x", fields: length, body: "hi"},
		{name: "switch of the protocol", statusLine: "HTTP/1.1 101 x", body: "HTTP/1.1 200 OK\r\n" +
			"X-Cassiarack-Response-Signature: s\r\nX-Cassiarack-Attempt-Id: " + attemptOfBody + "\r\nContent-Length: 2\r\n\r\nhi"},
		{name: "HTTP/2.0", statusLine: "HTTP/2.0 200 OK", fields: length, body: "hi"},
		{name: "HTTP/0.9", statusLine: "HTTP/0.9 200 OK", fields: length, body: "hi"},
		{name: "HTTP/1.0", statusLine: "HTTP/1.0 200 OK", fields: length, body: "hi"},
		{name: "HTTP/1.0 in chunks", statusLine: "HTTP/1.0 200 OK", fields: "Transfer-Encoding: chunked\r\n", body: "2\r\nhi\r\n0\r\n\r\n"},
		{name: "space in a field name", fields: length + "X Other: 1\r\n", body: "hi"},
		{name: "space behind a field name", fields: "Content-Length : 2\r\n", body: "hi!"},
		{name: "tab behind a field name", fields: "Content-Length\t: 2\r\n", body: "hi!"},
		{name: "space before a field name", fields: "X-Other: 1\r\n Content-Length: 2\r\n", body: "hi!"},
		{name: "tab before a field name", fields: "X-Other: 1\r\n\tContent-Length: 2\r\n", body: "hi!"},
		{name: "NUL in a field name", fields: length + "X\x00Other: 1\r\n", body: "hi"},
		{name: "control byte in a field name", fields: length + "X\x01Other: 1\r\n", body: "hi"},
		{name: "carriage return in a field name", fields: length + "X\rOther: 1\r\n", body: "hi"},
		{name: "DEL in a field name", fields: length + "X\x7fOther: 1\r\n", body: "hi"},
		{name: "control byte in a field value", fields: length + "X-Other: a\x01b\r\n", body: "hi"},
		{name: "head of another answer in a field value", fields: "X-Other: aHTTP/1.1 200 OK\r\nX-Cassiarack-Attempt-Id: other\r\n" + length, body: "hi"},
		{name: "no length", body: "hi"},
		{name: "no length, reset during the upload", body: "hi", upload: 4 << 20, resetAfter: 2 * time.Millisecond},
		{name: "length, reset during the upload", fields: length, body: "hi", upload: 4 << 20, resetAfter: 2 * time.Millisecond},
	} {
		i.answer.Store(&a)
		results := make(map[string]bool)
		for k := range brokenRounds {
			got, err := m.exchangeRaw(vm("beta"), fmt.Sprintf("raw-%d-%d", n, k), a.upload)
			is.NoErr(err)
			results[got] = true
		}
		fmt.Fprintf(&out, "%s: %s\n", a.name, strings.Join(slices.Sorted(maps.Keys(results)), ", "))
	}
	golden.Check(t, "broken", out.String())
	for _, b := range m.OwnEnds() {
		t.Error(b)
	}
}
