package proof

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"cassiarack.example/standin/backend"
	"cassiarack.example/standin/fleet"
)

// TestAnswersMatchRequests guards against responses that belong to another request
// and against double runs. Each of 2000 requests, 50 at a time and with distinct
// bodies, must get its own body back and run exactly once.
func TestAnswersMatchRequests(t *testing.T) {
	is := is.New(t)
	f := startDeployment(t, smallDeployment, "")
	const requests, workers = 2000, 50
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	next := make(chan int)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := range next {
				if err := exchangeOnce(t.Context(), client, f.VMs[i%len(f.VMs)], i); err != nil {
					t.Error(err)
				}
			}
		})
	}
	for i := range requests {
		next <- i
	}
	close(next)
	wg.Wait()
	runs := executions(f)
	for id, n := range runs {
		if n > 1 {
			t.Errorf("request %s ran %d times", id, n)
		}
	}
	is.Equal(len(runs), requests)
}

// exchangeOnce sends request number i and checks that the response echoes its body,
// which depends on i.
func exchangeOnce(ctx context.Context, client *http.Client, entry *fleet.VM, i int) error {
	body := bytes.Repeat([]byte(fmt.Sprintf("request %d;", i)), 1+i%500)
	url := fmt.Sprintf("http://%v/%s/accept", entry.CallerAddress, []string{"orders", "stock"}[i%2])
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(backend.HeaderRequest, fmt.Sprint(i))
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK || !bytes.Equal(got, body) {
		return fmt.Errorf("request %d: status %d, %d bytes, want %d: %.200s", i, res.StatusCode, len(got), len(body), got)
	}
	return nil
}

// executions returns how often each request was executed at all backend servers.
func executions(f *fleet.Fleet) map[string]int {
	sum := make(map[string]int)
	for _, v := range f.VMs {
		for id, n := range v.Server.Executions() {
			sum[id] += n
		}
	}
	return sum
}

// TestLeaving guards against requests sent to a backend server that the rules mark
// as leaving, and against a backend server that gets no requests after the mark
// was removed.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	f := startDeployment(t, smallDeployment, `{"leaving": [{"instance": "orders-01"}, {"vm": "stock-02"}]}`)
	for i := range 200 {
		is.NoErr(exchangeOnce(t.Context(), http.DefaultClient, f.VMs[i%len(f.VMs)], i))
	}
	for _, v := range f.VMs {
		leaving := v.Name == "orders-01" || v.Name == "stock-02"
		is.Equal(len(v.Server.Executions()) == 0, leaving)
	}
	f.Publish(nil)
	next := 200
	waitUntil(t, "work at an instance that is no longer leaving", func() bool {
		next++
		is.NoErr(exchangeOnce(t.Context(), http.DefaultClient, f.VMs[next%len(f.VMs)], next))
		return len(f.VMs[0].Server.Executions()) > 0
	})
}
