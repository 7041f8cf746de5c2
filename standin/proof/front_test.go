package proof

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/golden"
	"cassiarack.example/standin/backend"
	"cassiarack.example/standin/fleet"
)

// waitTimeout limits the wait for a state in a test.
const waitTimeout = 30 * time.Second

// TestMalformed guards against malformed requests that are forwarded, and against
// refusals that do not state that the request was not run.
func TestMalformed(t *testing.T) {
	f := startDeployment(t, smallDeployment, "")
	var b strings.Builder
	for _, c := range []struct{ name, text string }{
		{"no route", "GET /nothing/1 HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"no HTTP", "hello\r\n\r\n"},
		{"no host", "GET /orders/1 HTTP/1.1\r\n\r\n"},
		{"unknown version", "GET /orders/1 HTTP/9.1\r\nHost: x\r\n\r\n"},
		{"oversize header", "GET /orders/1 HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 100<<10) + "\r\n\r\n"},
		{"two lengths", "POST /orders/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
		{"negative length", "POST /orders/1 HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n"},
		{"unknown coding", "POST /orders/1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: zip\r\n\r\n"},
		{"upgrade", "GET /orders/1 HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n"},
		{"connect", "CONNECT x:1 HTTP/1.1\r\nHost: x:1\r\n\r\n"},
		{"timeout without a unit", "GET /orders/1 HTTP/1.1\r\nHost: x\r\nCassiarack-Timeout: 5\r\n\r\n"},
		{"header without a colon", "GET /orders/1 HTTP/1.1\r\nHost: x\r\nNonsense\r\n\r\n"},
	} {
		fmt.Fprintf(&b, "%s: %s\n", c.name, sendRaw(t, f.VMs[0].CallerAddress, c.text))
	}
	golden.Check(t, "malformed", b.String())
	if n := len(executions(f)); n != 0 {
		t.Errorf("%d malformed requests ran", n)
	}
}

// sendRaw sends text and returns the status and the outcome header of the response.
func sendRaw(t *testing.T, addr netip.AddrPort, text string) string {
	t.Helper()
	conn := dial(t, addr)
	defer conn.Close()
	// The server may respond and close the connection before it has read the
	// whole text.
	_, _ = io.WriteString(conn, text)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	defer res.Body.Close()
	return fmt.Sprintf("%d %s", res.StatusCode, res.Header.Get("Cassiarack-Outcome"))
}

// dial connects to addr with waitTimeout as the deadline of all reads and writes.
func dial(t *testing.T, addr netip.AddrPort) net.Conn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", addr.String(), waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestRandomBytes guards against a node that exits, hangs or leaks memory when
// random bytes arrive at any of its ports.
func TestRandomBytes(t *testing.T) {
	f := startDeployment(t, smallDeployment, "")
	v := f.VMs[0]
	for _, addr := range []netip.AddrPort{v.CallerAddress, v.FleetAddress, v.AdminAddress} {
		for range 20 {
			conn := dial(t, addr)
			// The node may close the connection before all bytes are sent.
			_, _ = io.CopyN(conn, rand.Reader, 256<<10)
			_ = conn.Close()
		}
	}
	if err := exchangeOnce(t.Context(), http.DefaultClient, v, 1); err != nil {
		t.Errorf("after random bytes: %v", err)
	}
}

// TestSlowCaller guards against callers that occupy connections by sending their
// headers slowly.
func TestSlowCaller(t *testing.T) {
	is := is.New(t)
	f := startDeployment(t, smallDeployment, "")
	conn := dial(t, f.VMs[0].CallerAddress)
	defer conn.Close()
	_, err := io.WriteString(conn, "GET /orders/1 HTTP/1.1\r\nHost: x\r\nX-Slow")
	is.NoErr(err)
	// The node must close the connection, so that the read ends before its
	// deadline.
	rest, err := io.ReadAll(conn)
	var timeout net.Error
	is.True(!errors.As(err, &timeout) || !timeout.Timeout())
	is.True(!bytes.Contains(rest, []byte("200 OK")))
}

// TestTruncatedBodies guards against a request or response body that is truncated
// by its sender and looks complete to its receiver.
func TestTruncatedBodies(t *testing.T) {
	is := is.New(t)
	f := startDeployment(t, smallDeployment, "")
	for _, head := range []string{"Content-Length: 1000", "Transfer-Encoding: chunked"} {
		conn := dial(t, f.VMs[0].CallerAddress)
		_, err := io.WriteString(conn, "POST /orders/accept HTTP/1.1\r\nHost: x\r\n"+head+"\r\n\r\n5\r\nhello\r\n")
		is.NoErr(err)
		waitUntil(t, "the request runs", func() bool { return inFlight(f) > 0 })
		_ = conn.Close()
		waitUntil(t, "the request ends", func() bool { return inFlight(f) == 0 })
	}
	truncated := 0
	for _, v := range f.VMs {
		truncated += v.Server.TruncatedBodies()
		v.Server.SetFault(backend.Fault{CutShare: 1})
	}
	is.Equal(truncated, 2) // the backend servers saw both bodies as truncated
	for i := range 20 {
		body := bytes.Repeat([]byte("x"), 1+i*5000)
		res, err := http.Post(fmt.Sprintf("http://%v/orders/accept", f.VMs[i%len(f.VMs)].CallerAddress), "text/plain", bytes.NewReader(body))
		if err != nil {
			continue
		}
		got, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err == nil && res.StatusCode == http.StatusOK {
			t.Errorf("a truncated answer of %d bytes looks complete with %d bytes", len(body), len(got))
		}
	}
}

// inFlight returns the number of requests at all backend servers.
func inFlight(f *fleet.Fleet) int {
	n := 0
	for _, v := range f.VMs {
		n += v.Server.InFlight()
	}
	return n
}

// waitUntil polls until reached returns true, for at most waitTimeout. what names
// the condition in the test's log.
func waitUntil(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !reached(); {
		if time.Now().After(end) {
			t.Fatalf("timeout while waiting for: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestLargeBodies guards against nodes that hold whole bodies in memory. While four
// bodies of 100 MB are forwarded, the memory of each node may grow by at most
// 100 MB.
func TestLargeBodies(t *testing.T) {
	f := startDeployment(t, smallDeployment, "")
	const size, maxGrowth = 100 << 20, 100 << 20
	before := make(map[string]int)
	for _, v := range f.VMs {
		before[v.Name] = residentMemory(t, v)
	}
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			if err := echoLarge(t.Context(), f.VMs[i], size); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	for _, v := range f.VMs {
		if growth := residentMemory(t, v) - before[v.Name]; growth > maxGrowth {
			t.Errorf("node %s grew by %d MB", v.Name, growth>>20)
		}
	}
}

// echoLarge sends a body of size zero bytes and checks that the response has the
// same size.
func echoLarge(ctx context.Context, v *fleet.VM, size int64) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%v/orders/accept", v.CallerAddress),
		io.LimitReader(zeros{}, size))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, res.Body)
	if err != nil || n != size {
		return fmt.Errorf("status %d, %d bytes, want %d: %w", res.StatusCode, n, size, err)
	}
	return nil
}

// zeros is an endless io.Reader of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// residentMemory returns the resident memory of a node's process in bytes.
func residentMemory(t *testing.T, v *fleet.VM) int {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("/proc", fmt.Sprint(v.Process.Process.Pid), "status"))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb << 10
		}
	}
	t.Fatalf("no VmRSS in the process status of node %s", v.Name)
	return 0
}
