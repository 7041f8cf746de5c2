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
	// hoardLimit is the memory of a machine in MB, as on the sheet.
	hoardLimit = 184
	// hoardClients is the number of clients on each of the first two machines.
	hoardClients = 20
	hoardTime    = 60 * time.Second
	// hoardAnswer is the size of the answers in bytes, and hoardRate how many bytes a slow
	// client reads in a second. It reads a whole answer in 8.3 s of its 12 s.
	hoardAnswer   = 1_500_000
	hoardRate     = 180_000
	hoardDeadline = 12 * time.Second
)

// hoard lets clients of two machines read answers slowly, and ends a sidecar that exceeds
// the memory of its machine, as the platform does.
func hoard(f *fleet, trouble bool) (bool, error) {
	f.memory = hoardLimit
	services := []string{"orders", "orders"}
	for range 8 {
		services = append(services, "maps")
	}
	err := f.start(services, configuration(3, []route{{"r-get", "/get/", "safe", "maps", 12}, {"r-post", "/post/", "unsafe", "orders", 12}}, []string{"orders", "maps"}),
		func(*vm) *instance {
			return &instance{slots: 10, respond: func(i *instance, c net.Conn, r *http.Request, _ []byte) bool {
				time.Sleep(50 * time.Millisecond)
				_, err := c.Write(i.answer(r, hoardAnswer))
				return err == nil
			}}
		})
	if err != nil {
		return false, err
	}
	end := time.Now().Add(hoardTime)
	var whole, cut atomic.Int64
	for n := range 2 * hoardClients {
		go func() {
			time.Sleep(time.Duration(n) * 25 * time.Millisecond)
			for time.Now().Before(end) {
				f.hoardOnce(n, f.vms[n%2], trouble, end, &whole, &cut)
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	kills := make([]int, 2)
	most := make([]int, 2)
	for time.Now().Before(end) && (kills[0] < 3 || kills[1] < 3) {
		time.Sleep(20 * time.Millisecond)
		for k, v := range f.vms[:2] {
			m := v.vmRSS()
			if m > most[k]+9 {
				f.record.line("sidecar %d has %d MB", k+1, m)
			}
			most[k] = max(most[k], m)
			if m <= hoardLimit {
				continue
			}
			kills[k]++
			f.record.line("sidecar %d has %d MB of %d and is killed, the %d. time", k+1, m, hoardLimit, kills[k])
			v.signal(syscall.SIGKILL)
			<-v.exited
			most[k] = 0
			time.Sleep(300 * time.Millisecond)
			if err := v.launch(); err != nil {
				return false, err
			}
		}
	}
	f.record.line("kills %v, most MB of the last processes %v, %d answers whole, %d cut", kills, most, whole.Load(), cut.Load())
	return kills[0] < 3 || kills[1] < 3, nil
}

// hoardOnce sends a safe request each second on one connection and reads the answers in
// order. It gives up 12 s after a request without a whole answer.
func (f *fleet) hoardOnce(client int, v *vm, trouble bool, end time.Time, whole, cut *atomic.Int64) {
	c, err := net.DialTimeout("tcp", v.callers(), time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	type sent struct {
		id string
		at time.Time
	}
	queue := make(chan sent, 64)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		defer close(queue)
		for time.Now().Before(end) {
			s := sent{newID(), time.Now()}
			if _, err := c.Write(request("GET", "/get/1", s.id, hoardDeadline, nil, "")); err != nil {
				return
			}
			queue <- s
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
		}
	}()
	br := bufio.NewReader(c)
	for s := range queue {
		c.SetReadDeadline(s.at.Add(hoardDeadline))
		resp, err := http.ReadResponse(br, nil)
		n := int64(0)
		for err == nil {
			var k int64
			if !trouble {
				k, err = io.Copy(io.Discard, resp.Body)
				n += k
				break
			}
			k, err = io.CopyN(io.Discard, resp.Body, hoardRate/10)
			n += k
			time.Sleep(100 * time.Millisecond)
		}
		if err == io.EOF {
			err = nil
		}
		if resp != nil {
			f.record.line("client %d read %d bytes of the answer %d to %s after %.1f s, error %v", client, n, resp.StatusCode, s.id, time.Since(s.at).Seconds(), err)
		}
		if err != nil {
			cut.Add(1)
			return
		}
		whole.Add(1)
	}
}
