package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// bodiesLength is how long clients send.
	bodiesLength = 60 * time.Second
	// bodiesClients is the number of clients of a machine. The small deployments
	// have about 21.
	bodiesClients = 6
	// bodiesPause is the time between two requests of a client.
	bodiesPause = 600 * time.Millisecond
	// largeBody is the size of a large request, 9% of max_body_bytes.
	largeBody = 6_000_000
	// usualBody is the mean size of the requests in the site file.
	usualBody = 300
	// restartDelay is the delay after which a killed process is started again.
	restartDelay = time.Second
	memoryPoll   = 20 * time.Millisecond
)

func init() { cases["bodies"] = bodies }

// bodies sends requests with large bodies, within max_body_bytes, and ends each
// process that exceeds memory_mb, as the platform does. The rule is broken if on a
// tenth of the machines, two at least, processes end so three times.
func bodies(f *fleet, trouble bool) (bool, error) {
	var mu sync.Mutex
	ran := make(map[string]bool)
	newInstance := func() *instance {
		return &instance{slots: 3, work: 170 * time.Millisecond, answerBytes: 400, onRun: func(i *instance, attempt string, body int64) {
			f.record.line("request %s runs at %s with a body of %d bytes", attempt, i.id, body)
			mu.Lock()
			defer mu.Unlock()
			ran[attempt] = true
		}}
	}
	zones, services := []string{"riga-a", "riga-b", "riga-c"}, []string{"quotes", "surveys", "catalogue"}
	for n := range 9 {
		if _, err := f.add(services[n/3], zones[n%3], newInstance()); err != nil {
			return false, err
		}
	}
	f.configure([]route{{"accept", "h.example", "/accept/", "unsafe", 2, .8, 1, "quotes", 2}}, services)
	if err := f.start(); err != nil {
		return false, err
	}
	size := usualBody
	if trouble {
		size = largeBody
	}
	end := time.Now().Add(bodiesLength)
	counts, lost := make(map[string]int), 0
	var clients sync.WaitGroup
	for _, v := range f.vms {
		for k := range bodiesClients {
			clients.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					attempt := fmt.Sprintf("c%d-%d-%d", v.n, k, n)
					f.record.line("request %s of %d bytes is sent to machine %d", attempt, size, v.n)
					outcome := post(f.addr(v, portCallers), attempt, size)
					f.record.line("request %s ends: %s", attempt, outcome)
					mu.Lock()
					counts[outcome]++
					if outcome == "no answer" && ran[attempt] {
						lost++
						f.record.line("request %s ran and its connection ended without an answer", attempt)
					}
					mu.Unlock()
					time.Sleep(bodiesPause)
				}
			})
		}
	}
	kills := f.enforceMemory(end)
	clients.Wait()
	f.record.line("outcomes %v; requests of %d bytes that ran and got no answer: %d", counts, size, lost)
	machines := 0
	for n, k := range kills {
		f.record.line("machine %d: %d ends by memory", n, k)
		if k >= 3 {
			machines++
		}
	}
	return machines >= max(2, (len(f.vms)+9)/10), nil
}

// enforceMemory kills processes whose memory exceeds memoryMegabytes until end, and
// starts them again. It counts only anonymous memory, which excludes the program's
// file. It returns the number of kills of each machine.
func (f *fleet) enforceMemory(end time.Time) map[int]int {
	kills := make(map[int]int)
	down := make(map[int]time.Time)
	report := time.Now()
	for time.Now().Before(end) {
		time.Sleep(memoryPoll)
		line := ""
		for _, v := range f.vms {
			if at, ok := down[v.n]; ok {
				if time.Since(at) < restartDelay {
					continue
				}
				delete(down, v.n)
				if err := f.launch(v); err != nil {
					f.record.line("machine %d: %v", v.n, err)
				}
			}
			used := v.memory("RssAnon")
			line += fmt.Sprintf(" %d", used)
			if used <= memoryMegabytes {
				continue
			}
			f.record.line("machine %d uses %d MB of %d and is killed", v.n, used, memoryMegabytes)
			v.signal(syscall.SIGKILL)
			<-v.exited
			kills[v.n]++
			down[v.n] = time.Now()
		}
		if time.Since(report) > 5*time.Second {
			report = time.Now()
			f.record.line("memory in MB:%s", line)
		}
	}
	return kills
}

var bodyText = pattern("body", largeBody)

// post sends one request on a new connection and returns its status, or what went
// wrong.
func post(addr, attempt string, size int) string {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = fmt.Fprintf(c, "POST /accept/x HTTP/1.1\r\nHost: h.example\r\nX-Cassiarack-Attempt-Id: %s\r\n"+
		"X-Cassiarack-Deadline-Ms: 2000\r\nContent-Length: %d\r\n\r\n", attempt, size)
	if err == nil {
		_, err = c.Write(bodyText[:size])
	}
	if err != nil {
		return "not sent"
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	resp.Body.Close()
	return strconv.Itoa(resp.StatusCode)
}
