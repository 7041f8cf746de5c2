package mesh

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestServiceRoom guards against sidecars that learn nothing of the load of a service
// in their own or another data centre, that refuse so much of an overload that slots are
// unused, and that go on refusing when the overload has ended.
func TestServiceRoom(t *testing.T) {
	const (
		work   = 100 * time.Millisecond
		length = 5 * time.Second
		// slots is the number of slots of each instance.
		slots = 3
	)
	is := is.New(t)
	m := &Mesh{Program: program, Folder: t.TempDir(), Services: map[string]int{"alpha": 6, "beta": 1}, Network: 90, Work: work, ServiceRoom: true}
	defer m.Stop()
	is.NoErr(m.Start(t.Context()))
	capacity := float64(6*slots) / work.Seconds()
	var mu sync.Mutex
	statuses := map[int]int{}
	var refusing time.Duration
	send := func(rate float64, length time.Duration, name string) map[int]int {
		statuses, refusing = map[int]int{}, 0
		var clients sync.WaitGroup
		for n := range int(rate * length.Seconds()) {
			time.Sleep(time.Duration(float64(time.Second) / rate))
			clients.Go(func() {
				began := time.Now()
				s := m.get(t.Context(), m.VMs[n%len(m.VMs)], "/accept/", fmt.Sprintf("%s%d", name, n))
				mu.Lock()
				defer mu.Unlock()
				statuses[s]++
				if s == http.StatusServiceUnavailable {
					refusing += time.Since(began)
				}
			})
		}
		clients.Wait()
		return statuses
	}
	got := send(2.5*capacity, length, "over")
	t.Logf("at 2.5 times the room of %.0f requests a second: %v, refused after %v", capacity, got,
		refusing/time.Duration(max(1, got[http.StatusServiceUnavailable])))
	sidecars := 0
	for _, v := range m.VMs {
		text, err := os.ReadFile(filepath.Join(m.Folder, fmt.Sprintf("vm%d.log", v.Index)))
		is.NoErr(err)
		if strings.Contains(string(text), "refusing=true") && strings.Contains(string(text), "reason=\"no room\"") {
			sidecars++
		}
	}
	is.Equal(sidecars, len(m.VMs)) // every sidecar refused by sums
	is.True(float64(got[http.StatusOK]) > 0.7*capacity*length.Seconds())
	time.Sleep(2 * time.Second)
	got = send(0.3*capacity, 2*time.Second, "after")
	t.Logf("at 0.3 times the room: %v", got)
	is.Equal(got[http.StatusServiceUnavailable], 0)
}
