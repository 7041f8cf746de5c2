package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// floorShare and floorWindow are floor_share and the span of the rule FLOOR.
	floorShare  = 0.7
	floorWindow = 2 * time.Second
	// shadowPause is the time between two requests of a machine's clients. All
	// together send 75 a second. Six instances can run 90, four 60.
	shadowPause = 120 * time.Millisecond
	shadowWork  = 200 * time.Millisecond
	// shadowLength is how long clients send, shadowAt when the other writer writes.
	shadowLength = 25 * time.Second
	shadowAt     = 5 * time.Second
)

func init() { cases["shadow"] = shadow }

// shadow lets another writer leave entries whose service no configuration names,
// with the addresses of two of six instances. The rule is broken if, for two
// seconds, less than floor_share of the instances get requests while more than a
// tenth and under half of the requests are not served.
func shadow(f *fleet, trouble bool) (bool, error) {
	type event struct {
		at       time.Time
		instance string
		served   bool
	}
	var mu sync.Mutex
	var runs, requests []event
	newInstance := func() *instance {
		return &instance{slots: 3, work: shadowWork, answerBytes: 400, onRun: func(i *instance, attempt string, _ int64) {
			f.record.line("request %s runs at %s", attempt, i.id)
			mu.Lock()
			defer mu.Unlock()
			runs = append(runs, event{at: time.Now(), instance: i.id})
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
	odd := 2
	if n, err := strconv.Atoi(os.Getenv("ODD")); err == nil {
		odd = n
	}
	start := time.Now()
	var clients sync.WaitGroup
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for n, v := range f.vms {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * shadowPause / 9)
			var inFlight sync.WaitGroup
			defer inFlight.Wait()
			tick := time.NewTicker(shadowPause)
			defer tick.Stop()
			for k := 0; time.Since(start) < shadowLength; k++ {
				inFlight.Go(func() {
					began := time.Now()
					attempt := fmt.Sprintf("c%d-%d", v.n, k)
					f.record.line("request %s is sent to machine %d", attempt, v.n)
					status := get(client, f.addr(v, portCallers), "/read/x", attempt)
					f.record.line("request %s ends: status %d", attempt, status)
					mu.Lock()
					defer mu.Unlock()
					requests = append(requests, event{at: began, served: status == http.StatusOK})
				})
				<-tick.C
			}
		})
	}
	time.Sleep(shadowAt)
	if trouble {
		for n := range odd {
			i := f.vms[n].instance
			f.store.put(fmt.Sprintf("servers/agent-%d", n), map[string]any{"service": "metrics-agent", "address": i.address,
				"zone": i.zone, "version": "v1", "slots": i.slots, "state": "ready", "cold_left_s": 0, "sequence": 1,
				"born": time.Now().UnixMilli()})
			f.record.line("another writer wrote servers/agent-%d: service metrics-agent, address %s of %s", n, i.address, i.id)
		}
	}
	clients.Wait()
	broken := false
	for at := 6 * time.Second; at+floorWindow <= shadowLength-2*time.Second; at += 250 * time.Millisecond {
		from, to := start.Add(at), start.Add(at+floorWindow)
		busy, sent, unserved := make(map[string]bool), 0, 0
		for _, r := range runs {
			if r.at.After(from) && r.at.Before(to) {
				busy[r.instance] = true
			}
		}
		for _, r := range requests {
			if r.at.After(from) && r.at.Before(to) {
				sent++
				if !r.served {
					unserved++
				}
			}
		}
		share, missed := float64(len(busy))/6, float64(unserved)/float64(max(sent, 1))
		hit := share > 0 && share < floorShare && missed > 0.1 && missed < 0.5
		f.record.line("from %v: %d of 6 instances got requests, %d of %d requests were not served; FLOOR broken: %t", at, len(busy),
			unserved, sent, hit)
		broken = broken || hit
	}
	return broken, nil
}

// get sends one request and returns its status, or 0.
func get(client *http.Client, addr, path, attempt string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	req.Header.Set("X-Cassiarack-Attempt-Id", attempt)
	req.Header.Set("X-Cassiarack-Deadline-Ms", "2000")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
