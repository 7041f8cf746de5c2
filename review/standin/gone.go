package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// goneWork is how long a request runs: in the tail of a kind that works 220 ms
	// in the mean and 2,300 ms at most.
	goneWork = 1500 * time.Millisecond
	// goneAfter is how long a client waits before it leaves, half the objective.
	goneAfter = 400 * time.Millisecond
	// goneShare is the share of the requests whose clients leave, between goneFrom
	// and goneTo.
	goneShare = 0.3
	goneFrom  = 3 * time.Second
	goneTo    = 8 * time.Second
	goneEnd   = 11 * time.Second
)

func init() { cases["gone"] = gone }

// gone lets clients, which use one connection for each request and say so, leave
// before their deadline. The rule is broken if instances are still at work half a
// second later on more than a quarter of the requests that would have lasted so
// long. With KEEP=1 the clients do not announce the end of their connections.
func gone(f *fleet, trouble bool) (bool, error) {
	var mu sync.Mutex
	// left is when the client of an attempt left, began and ended when it ran.
	left, began, ended := make(map[string]time.Time), make(map[string]time.Time), make(map[string]time.Time)
	newInstance := func() *instance {
		i := &instance{slots: 3}
		i.serve = func(c net.Conn, _ *http.Request, attempt string) bool {
			mu.Lock()
			began[attempt] = time.Now()
			mu.Unlock()
			f.record.line("request %s runs at %s", attempt, i.id)
			finished := sleepUntilClosed(c, goneWork)
			mu.Lock()
			ended[attempt] = time.Now()
			mu.Unlock()
			f.record.line("request %s ends at %s, finished: %t", attempt, i.id, finished)
			if !finished {
				return false
			}
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Cassiarack-Attempt-Id: %s\r\nX-Cassiarack-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok",
				attempt)
			return err == nil
		}
		return i
	}
	zones := []string{"riga-a", "riga-b", "riga-c"}
	for n := range 9 {
		if _, err := f.add("catalogue", zones[n%3], newInstance()); err != nil {
			return false, err
		}
	}
	f.configure([]route{{"read", "h.example", "/read/", "safe", 2, .8, 2, "catalogue", 2}}, []string{"catalogue"})
	if err := f.start(); err != nil {
		return false, err
	}
	start := time.Now()
	var clients sync.WaitGroup
	for _, v := range f.vms {
		for k := range 2 {
			clients.Go(func() {
				for n := 0; time.Since(start) < goneEnd; n++ {
					attempt := fmt.Sprintf("c%d-%d-%d", v.n, k, n)
					at := time.Since(start)
					leaves := trouble && at > goneFrom && at < goneTo && float64((n*7+k*3+v.n)%10) < 10*goneShare
					f.record.line("request %s is sent to machine %d", attempt, v.n)
					outcome := readAndClose(f.addr(v, portCallers), attempt, leaves)
					if leaves {
						mu.Lock()
						left[attempt] = time.Now()
						mu.Unlock()
					}
					f.record.line("request %s ends: %s", attempt, outcome)
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	long, atWork := 0, 0
	for attempt, at := range left {
		b, ok := began[attempt]
		if !ok || b.Add(goneWork).Before(at.Add(500*time.Millisecond)) {
			continue
		}
		long++
		if ended[attempt].After(at.Add(500 * time.Millisecond)) {
			atWork++
		}
	}
	f.record.line("%d clients left while their request would have run for half a second more; %d requests were still at work then",
		long, atWork)
	return long > 0 && atWork*4 > long, nil
}

// sleepUntilClosed waits for d and reports true, or false as soon as the peer closes
// the connection.
func sleepUntilClosed(c net.Conn, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := c.Read(make([]byte, 1))
	_ = c.SetReadDeadline(time.Time{})
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// readAndClose sends one request on a connection of its own and returns its status.
// If leaves is set, it closes the connection after goneAfter.
func readAndClose(addr, attempt string, leaves bool) string {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	announce := "Connection: close\r\n"
	if os.Getenv("KEEP") == "1" {
		announce = ""
	}
	_, err = fmt.Fprintf(c, "GET /read/x HTTP/1.1\r\nHost: h.example\r\nX-Cassiarack-Attempt-Id: %s\r\n"+
		"X-Cassiarack-Deadline-Ms: 2000\r\n%s\r\n", attempt, announce)
	if err != nil {
		return "not sent"
	}
	wait := 3 * time.Second
	if leaves {
		wait = goneAfter
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil && leaves {
		return "the client leaves"
	} else if err != nil {
		return "no answer"
	}
	resp.Body.Close()
	return fmt.Sprint(resp.StatusCode)
}
