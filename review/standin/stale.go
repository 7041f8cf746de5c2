package main

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// oddEntries is the number of odd entries, oddBytes the size of each, which is
	// below value_bytes (1,048,576).
	oddEntries = 60
	oddBytes   = 1_000_000
	// configApply and drainTime are config_apply_s and drain_s.
	configApply = 2 * time.Second
	drainTime   = 2 * time.Second
	staleWork   = 50 * time.Millisecond
	// staleChange is when the operator moves a route and an instance drains,
	// staleLength when clients stop.
	staleChange = 6 * time.Second
	staleLength = 18 * time.Second
)

func init() { cases["stale"] = stale }

// stale lets another writer leave large entries of bytes that can't be read among
// those of the instances. Then the operator moves a route to another service. The
// rule is broken if a request that was sent later than config_apply_s after the
// acknowledgement is run by the old service.
func stale(f *fleet, trouble bool) (bool, error) {
	var mu sync.Mutex
	sent, ranAt := make(map[string]time.Time), make(map[string]*instance)
	// drained is the instance that drains.
	var drained *instance
	var acknowledged time.Time
	lateDrain := 0
	newInstance := func() *instance {
		return &instance{slots: 3, work: staleWork, answerBytes: 400, onRun: func(i *instance, attempt string, _ int64) {
			mu.Lock()
			defer mu.Unlock()
			ranAt[attempt] = i
			if i == drained && !acknowledged.IsZero() && time.Since(acknowledged) > drainTime {
				lateDrain++
			}
			f.record.line("request %s runs at %s of %s", attempt, i.id, i.service)
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
	routes := func(service string) []route {
		return []route{{"read", "h.example", "/read/", "safe", 2, .8, 2, service, 2},
			{"other", "h.example", "/other/", "safe", 2, .8, 2, "catalogue", 2}}
	}
	services := []string{"catalogue", "surveys"}
	f.configure(routes("catalogue"), services)
	if err := f.start(); err != nil {
		return false, err
	}
	odd := oddEntries
	if n, err := strconv.Atoi(os.Getenv("ODD")); err == nil {
		odd = n
	}
	if trouble {
		for n := range odd {
			value := make([]byte, oddBytes)
			if _, err := rand.Read(value); err != nil {
				return false, err
			}
			f.store.put(fmt.Sprintf("servers/x-%d", n), value)
		}
		f.record.line("another writer wrote %d entries of %d random bytes", odd, oddBytes)
	}
	start := time.Now()
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var clients sync.WaitGroup
	for _, v := range f.vms {
		clients.Go(func() {
			for n := 0; time.Since(start) < staleLength; n++ {
				attempt, path := fmt.Sprintf("c%d-%d", v.n, n), "/read/x"
				if n%2 == 1 {
					path = "/other/x"
				}
				mu.Lock()
				if n%2 == 0 {
					sent[attempt] = time.Now()
				}
				mu.Unlock()
				f.record.line("request %s for %s is sent to machine %d", attempt, path, v.n)
				f.record.line("request %s ends: status %d", attempt, get(client, f.addr(v, portCallers), path, attempt))
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(staleChange)
	f.configure(routes("surveys"), services)
	f.register(f.vms[0], "draining")
	mu.Lock()
	acknowledged, drained = time.Now(), f.vms[0].instance
	mu.Unlock()
	f.record.line("the store acknowledged r%d, which moves the route read to surveys, and that %s is draining", f.version, drained.id)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, old := 0, 0
	for attempt, at := range sent {
		if i := ranAt[attempt]; i != nil && at.Sub(acknowledged) > configApply {
			late++
			if i.service == "catalogue" {
				old++
			}
		}
	}
	f.record.line("CONFIG: of %d requests sent over %v after the acknowledgement %d were run by the old service", late, configApply, old)
	f.record.line("DRAIN: %d requests reached the draining instance over %v after the acknowledgement", lateDrain, drainTime)
	return old > 0, nil
}
