package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/standin/backend"
	"cassiarack.example/standin/fleet"
)

// sixInstances has one service of six instances. Its floor of four healthy
// instances permits two ejections.
var sixInstances = fleet.Deployment{
	Name:        "six",
	Region:      "north",
	DataCentres: []string{"north-1", "north-2", "north-3"},
	Services: []fleet.Service{
		{Name: "quotes", Instances: 6, Slots: 3, Connections: 400, ServiceTime: 2 * time.Millisecond},
	},
}

// startReads sends GET requests to all nodes in turn until the test ends. It
// returns the numbers of requests and of failures, which go on counting.
func startReads(t *testing.T, f *fleet.Fleet, workers int) (sent, failed *atomic.Int64) {
	t.Helper()
	sent, failed = &atomic.Int64{}, &atomic.Int64{}
	ctx, cancel := context.WithCancel(t.Context())
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}, Timeout: 2 * time.Second}
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := w; ctx.Err() == nil; i++ {
				url := fmt.Sprintf("http://%v/quotes/list", f.VMs[i%len(f.VMs)].CallerAddress)
				sent.Add(1)
				if !getSucceeds(ctx, client, url) && ctx.Err() == nil {
					failed.Add(1)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	t.Cleanup(func() { cancel(); wg.Wait(); client.CloseIdleConnections() })
	return sent, failed
}

// getSucceeds reports whether a GET request gets a whole response with a status
// below 500.
func getSucceeds(ctx context.Context, client *http.Client, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode < http.StatusInternalServerError
}

// decisions holds the fields of the response to /decisions that the tests use.
type decisions struct {
	Instances map[string]struct {
		Ejected bool    `json:"ejected"`
		Weight  float64 `json:"weight"`
	} `json:"instances"`
	Decisions []struct {
		Instance string `json:"instance"`
		What     string `json:"what"`
		Reason   string `json:"reason"`
	} `json:"decisions"`
}

// readDecisions returns the ejection decisions that a node shows.
func readDecisions(t *testing.T, v *fleet.VM) decisions {
	t.Helper()
	var d decisions
	res, err := http.Get("http://" + v.AdminAddress.String() + "/decisions")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&d); err != nil {
		t.Fatal(err)
	}
	return d
}

// countEjections returns the number of ejected instances and whether an ejection
// was refused with a reason.
func countEjections(d decisions) (ejected int, refused bool) {
	for _, x := range d.Instances {
		if x.Ejected {
			ejected++
		}
	}
	for _, x := range d.Decisions {
		refused = refused || x.What == "refused" && strings.TrimSpace(x.Reason) != ""
	}
	return ejected, refused
}

// awaitDecisions polls the nodes until holds returns true for the decisions of all
// of them. what names the condition in the test's log.
func awaitDecisions(t *testing.T, f *fleet.Fleet, what string, holds func(decisions) bool) {
	t.Helper()
	for end := time.Now().Add(stateTimeout); ; time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, v := range f.VMs {
			if holds(readDecisions(t, v)) {
				n++
			}
		}
		if n == len(f.VMs) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("timeout: condition %q holds at %d of %d nodes", what, n, len(f.VMs))
		}
	}
}

// TestEjection guards against a backend server with a gray failure that keeps
// getting requests, one that does not return after its repair, and ejections that
// leave fewer healthy instances than the floor.
func TestEjection(t *testing.T) {
	is := is.New(t)
	f := startDeployment(t, sixInstances, "")
	sent, _ := startReads(t, f, 12)
	for sent.Load() < 3000 {
		time.Sleep(20 * time.Millisecond)
	}
	for _, v := range f.VMs {
		for _, x := range readDecisions(t, v).Decisions {
			is.True(x.What != "ejected") // no ejection of a healthy backend server
		}
	}

	gray := f.VMs[2]
	began := time.Now()
	gray.Server.SetFault(backend.Fault{ErrorShare: 0.5})
	awaitDecisions(t, f, "ejected", func(d decisions) bool { return d.Instances[gray.Name].Ejected })
	t.Logf("ejected at all nodes after %v", time.Since(began).Round(10*time.Millisecond))
	gray.Server.SetFault(backend.Fault{})
	awaitDecisions(t, f, "returned", func(d decisions) bool {
		x, marked := d.Instances[gray.Name]
		return !marked || x.Weight == 1
	})
	t.Logf("returned after %v", time.Since(began).Round(10*time.Millisecond))

	// Three of six backend servers fail, but only two ejection tokens exist.
	for _, v := range f.VMs[:3] {
		v.Server.SetFault(backend.Fault{ErrorShare: 0.5})
	}
	most, refused := 0, false
	for end := time.Now().Add(stateTimeout); time.Now().Before(end) && (most < 2 || !refused); time.Sleep(50 * time.Millisecond) {
		for _, v := range f.VMs {
			n, r := countEjections(readDecisions(t, v))
			most, refused = max(most, n), refused || r
		}
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, v := range f.VMs {
			n, _ := countEjections(readDecisions(t, v))
			most = max(most, n)
		}
	}
	t.Logf("at most %d ejected at one node while three of six are gray", most)
	is.Equal(most, 2) // both tokens are in use, and the floor of four instances holds
	is.True(refused)  // the reason is shown to operators
}
