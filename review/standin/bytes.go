package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// bytesFirst is how many requests with the header each machine's client sends
	// before all others.
	bytesFirst = 30
	// bytesShare is the share of later requests that bear it, one in so many.
	bytesShare  = 5
	bytesPause  = 100 * time.Millisecond
	bytesLength = 40 * time.Second
	// bytesHeader has the letter ū in Latin-4, the encoding of older Baltic programs.
	bytesHeader = "X-Fitter: J\xferis, R\xeeg\xe0\r\n"
	plainHeader = "X-Fitter: Juris, Riga\r\n"
)

func init() { cases["bytes"] = bytes8 }

// bytes8 lets some clients send a header whose value has bytes above 0x7F, as HTTP
// allows. The rule is broken if no request is served.
func bytes8(f *fleet, trouble bool) (bool, error) {
	var mu sync.Mutex
	ran := make(map[string]bool)
	newInstance := func() *instance {
		return &instance{slots: 3, work: 50 * time.Millisecond, answerBytes: 400, onRun: func(i *instance, attempt string, _ int64) {
			mu.Lock()
			defer mu.Unlock()
			ran[attempt] = true
			f.record.line("request %s runs at %s", attempt, i.id)
		}}
	}
	zones := []string{"riga-a", "riga-b", "riga-c"}
	for n := range 9 {
		service := "catalogue"
		if n >= 6 {
			service = "surveys"
		}
		if _, err := f.add(service, zones[n%3], newInstance()); err != nil {
			return false, err
		}
	}
	f.configure([]route{{"read", "h.example", "/read/", "safe", 2, .8, 2, "catalogue", 2}}, []string{"catalogue", "surveys"})
	if err := f.start(); err != nil {
		return false, err
	}
	start := time.Now()
	type count struct{ sent, served, ran int }
	counts := make(map[string]*count)
	var clients sync.WaitGroup
	for _, v := range f.vms[6:] {
		clients.Go(func() {
			for n := 0; time.Since(start) < bytesLength; n++ {
				attempt, header, kind := fmt.Sprintf("c%d-%d", v.n, n), plainHeader, "plain"
				if n < bytesFirst || n%bytesShare == 0 {
					kind = "other"
					if trouble {
						header = bytesHeader
					}
				}
				f.record.line("request %s with %q is sent to machine %d", attempt, header, v.n)
				status := getWith(f.addr(v, portCallers), attempt, header)
				f.record.line("request %s ends: %s", attempt, status)
				mu.Lock()
				c := counts[kind]
				if c == nil {
					c = new(count)
					counts[kind] = c
				}
				c.sent++
				if status == "200" {
					c.served++
				}
				if ran[attempt] {
					c.ran++
				}
				mu.Unlock()
				time.Sleep(bytesPause)
			}
		})
	}
	clients.Wait()
	served := 0
	for kind, c := range counts {
		f.record.line("%s requests: %d sent, %d ran at an instance, %d served", kind, c.sent, c.ran, c.served)
		served += c.served
	}
	return served == 0, nil
}

// getWith sends one request with another header line and returns its status.
func getWith(addr, attempt, header string) string {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = fmt.Fprintf(c, "GET /read/x HTTP/1.1\r\nHost: h.example\r\nX-Cassiarack-Attempt-Id: %s\r\n"+
		"X-Cassiarack-Deadline-Ms: 2000\r\n%s\r\n", attempt, header)
	if err != nil {
		return "not sent"
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	resp.Body.Close()
	return fmt.Sprint(resp.StatusCode)
}
