package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// slowAnswer is the size of the largest answers of the sheet in bytes, and slowWindow
	// the receive buffer of the clients.
	slowAnswer = 30_000
	slowWindow = 4096
	// slowDeadline is the deadline of the clients, and slowPause how long they do not read.
	slowDeadline = 4 * time.Second
	slowPause    = 3 * time.Second
	slowClients  = 6
	slowKey      = "92cqf75rjvz48wuakn2f"
)

// slowReader lets clients on kept connections pause before they read the rest of an answer.
func slowReader(f *fleet, trouble bool) (bool, error) {
	f.memory = 184
	f.extra = `  "keyRevocation": "5s",
  "limitWindow": "5s",
  "limitOver": 0.25,
  "limitSlack": 20,
`
	services := []string{"club", "club", "club"}
	err := f.start(services, configuration(3, []route{{"r-post", "/post/", "unsafe", "club", 4}}, []string{"club"}, slowKey),
		func(*vm) *instance {
			return &instance{respond: func(i *instance, c net.Conn, r *http.Request, _ []byte) bool {
				time.Sleep(50 * time.Millisecond)
				_, err := c.Write(i.answer(r, slowAnswer))
				return err == nil
			}}
		})
	if err != nil {
		return false, err
	}
	var lost atomic.Int64
	var wg sync.WaitGroup
	for n := range slowClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if !f.slowClient(n, f.vms[0], trouble) {
				lost.Add(1)
			}
		}()
	}
	wg.Wait()
	f.record.line("at sidecar 1, %d of %d requests on kept connections ran and got no complete answer", lost.Load(), slowClients)
	return lost.Load() <= 3, nil
}

// slowClient sends two requests on one connection, and pauses while it reads the answer to
// the second one. It reports whether it got both answers.
func (f *fleet) slowClient(n int, v *vm, trouble bool) bool {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowWindow)
		})
	}}
	c, err := d.Dial("tcp", v.callers())
	if err != nil {
		f.record.line("client %d got no connection: %v", n, err)
		return true
	}
	defer c.Close()
	br := bufio.NewReaderSize(c, 512)
	for k := range 2 {
		id := newID()
		f.record.line("client %d sends POST %s to sidecar %d", n, id, v.index)
		sent := time.Now()
		c.SetDeadline(sent.Add(slowDeadline))
		c.Write(request("POST", "/post/1", id, slowDeadline, []byte("renewal "+id), "Authorization: Bearer "+slowKey+"\r\n"))
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			f.record.line("client %d got no answer to %s: %v", n, id, err)
			return f.runsOf(id) == 0
		}
		if k == 1 && trouble {
			f.record.line("client %d got the head %d of the answer to %s and pauses for %v", n, resp.StatusCode, id, slowPause)
			time.Sleep(slowPause)
		}
		got, err := io.ReadAll(resp.Body)
		ran := f.runsOf(id)
		f.record.line("client %d read %d bytes of the answer %d to %s, %.3f s after it sent it, error %v; it ran %d times", n, len(got), resp.StatusCode, id,
			time.Since(sent).Seconds(), err, ran)
		if ran > 0 && (err != nil || !bytes.Equal(got, answerBody(id, slowAnswer))) {
			return false
		}
	}
	return true
}
