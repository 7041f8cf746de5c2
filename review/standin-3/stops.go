package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// stopGap is the time between the two SIGTERMs, and stopWork how long the request runs.
	stopGap  = 400 * time.Millisecond
	stopWork = 5800 * time.Millisecond
	// lastSixth is when the last sixth of graceTime begins.
	lastSixth = graceTime * 5 / 6
)

// stops sends SIGTERM twice to the machine that takes a request from its client, as two
// planned works do that take the machine away.
func stops(f *fleet, trouble bool) (bool, error) {
	services := []string{"orders", "orders", "other"}
	var atWork atomic.Int64
	err := f.start(services, configuration(3, []route{{"r-post", "/post/", "unsafe", "orders", 12}}, []string{"orders", "other"}),
		func(*vm) *instance {
			return &instance{respond: func(i *instance, c net.Conn, r *http.Request, _ []byte) bool {
				if r.RequestURI == "/post/long" {
					atWork.Add(1)
					defer atWork.Add(-1)
					// The instance drops the request when its connection closes.
					ended := make(chan struct{})
					go func() {
						c.SetReadDeadline(time.Now().Add(stopWork))
						_, err := c.Read(make([]byte, 1))
						if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
							close(ended)
						}
					}()
					select {
					case <-time.After(stopWork):
					case <-ended:
						f.record.line("instance %d: the connection of the run closes", i.vm.index)
						return false
					}
				}
				_, err := c.Write(i.answer(r, 400))
				return err == nil
			}}
		})
	if err != nil {
		return false, err
	}
	v := f.vms[2]
	c, err := net.Dial("tcp", v.callers())
	if err != nil {
		return false, err
	}
	defer c.Close()
	br := bufio.NewReader(c)
	send := func(path string) (string, *http.Response, error) {
		id := newID()
		f.record.line("client sends POST %s %s to sidecar %d", path, id, v.index)
		c.SetDeadline(time.Now().Add(12 * time.Second))
		c.Write(request("POST", path, id, 12*time.Second, nil, ""))
		resp, err := http.ReadResponse(br, nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		return id, resp, err
	}
	if _, _, err := send("/post/short"); err != nil {
		return false, err
	}
	f.record.line("planned work 1")
	counted := time.Now()
	v.signal(syscall.SIGTERM)
	if trouble {
		time.Sleep(stopGap)
		f.record.line("planned work 2")
		counted = time.Now()
		v.signal(syscall.SIGTERM)
	}
	time.Sleep(100 * time.Millisecond)
	id, resp, err := send("/post/long")
	after := time.Since(counted)
	status := 0
	if err == nil {
		status = resp.StatusCode
	}
	ran := f.runsOf(id)
	f.record.line("client got %d for %s %.3f s after the last SIGTERM, error %v; it ran %d times", status, id, after.Seconds(), err, ran)
	if ran > 0 && status != http.StatusOK && after < lastSixth {
		f.record.line("LOST: the request was given up while its instance was at work, %.3f s before the last sixth of %v", (lastSixth - after).Seconds(), graceTime)
		return false, nil
	}
	return true, nil
}
