package mesh

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOpaqueBytes guards against requests and answers that cannot be passed on
// between sidecars because a header, a target or an identifier has bytes above
// 0x7F, and against connections between sidecars that later requests wait on for
// ever after such a request.
func TestOpaqueBytes(t *testing.T) {
	is := is.New(t)
	m := &Mesh{Program: program, Folder: t.TempDir(), Services: map[string]int{"alpha": 1, "beta": 1}, Network: 82}
	defer m.Stop()
	is.NoErr(m.Start(t.Context()))
	entry := m.VMs[slices.IndexFunc(m.VMs, func(v *VM) bool { return v.Instance.Service == "beta" })]
	var all []byte
	for b := 0x21; b <= 0xff; b++ {
		if b != 0x7f {
			all = append(all, byte(b))
		}
	}
	for n, tc := range []struct{ name, target, attempt, value string }{
		{"header", "/read/x", "attempt", string(all)},
		{"target", "/read/J\xfbris?R\xeeg\xe0", "attempt", "plain"},
		{"identifier", "/read/x", "J\xfbris", "plain"},
	} {
		// More than the connections that the pool keeps for one node.
		for k := range 40 {
			resp, err := m.exchangeText(entry, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: mesh.example\r\nX-Cassiarack-Attempt-Id: %s%d-%d\r\n"+
				"X-Cassiarack-Deadline-Ms: 2000\r\n%s: %s\r\nConnection: close\r\n\r\n", tc.target, tc.attempt, n, k, echoHeader, tc.value))
			is.NoErr(err)
			if resp.StatusCode != http.StatusOK || resp.Header.Get(echoHeader) != tc.target+" "+tc.value {
				t.Errorf("%s: status %d, echo %q", tc.name, resp.StatusCode, resp.Header.Get(echoHeader))
				break
			}
		}
		for k := range 10 {
			is.Equal(m.get(t.Context(), entry, "/read/", fmt.Sprintf("plain%d-%d", n, k)), http.StatusOK) // plain requests are served
		}
	}
	for _, b := range m.OwnEnds() {
		t.Error(b)
	}
}

// exchangeText sends the text of a request to the sidecar of a VM on a connection of
// its own and returns the response, whose body has been read.
func (m *Mesh) exchangeText(v *VM, text string) (*http.Response, error) {
	c, err := net.DialTimeout("tcp", m.address(v.Index, portCallers).String(), time.Second)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(clientDeadline + answerSlack)); err != nil {
		return nil, err
	}
	if _, err := io.WriteString(c, text); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}
