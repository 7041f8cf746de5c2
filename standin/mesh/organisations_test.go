package mesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	trace "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/encoding/prototext"

	"cassiarack.example/lib/golden"
)

// keyMark is a part of all keys in this file.
const keyMark = "MeshSecret"

// organisations returns n organisations with two keys each, one of which has bytes
// above 0x7F.
func organisations(n int) []Organisation {
	var list []Organisation
	for i := range n {
		list = append(list, Organisation{Name: fmt.Sprintf("organisation-%d", i), Priority: i,
			Keys: []string{fmt.Sprint(keyMark, i, "a"), fmt.Sprint(keyMark, i, "\u00fc\u00ff")}})
	}
	return list
}

// ask sends a request with the given key, or without one, to the sidecar of a VM, and
// returns the status, whether it has a challenge, and the text of a refusal.
func (m *Mesh) ask(t *testing.T, v *VM, path, key string) string {
	t.Helper()
	text := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: mesh.example\r\nX-Cassiarack-Attempt-Id: %s\r\nX-Cassiarack-Deadline-Ms: 2000\r\n%s: forged\r\n",
		path, path[1:], headerOrganisation)
	if key != "" {
		text += "Authorization: Bearer " + key + "\r\n"
	}
	resp, err := m.exchangeText(v, text+"Connection: close\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%d, challenge %q, retry %t", resp.StatusCode, resp.Header.Get("Www-Authenticate"), resp.Header.Get("Retry-After") != "")
}

// TestOrganisations guards against requests that are served for another organisation
// than that of their key, against keys that reach an instance, a log, a metric or a
// span, against a new key that gets 401, against a revoked key that is still served,
// and against unknown keys that cause calls of the store.
func TestOrganisations(t *testing.T) {
	is := is.New(t)
	c := &spanCollector{spans: make(map[string]*trace.Span)}
	server := httptest.NewServer(c)
	defer server.Close()
	m := &Mesh{Program: program, Folder: t.TempDir(), Services: map[string]int{"alpha": 3, "beta": 2}, Network: 91,
		Organisations: organisations(5), PublicRoutes: []string{"other"}, TraceEndpoint: server.URL}
	defer m.Stop()
	is.NoErr(m.Start(t.Context()))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	o := NewOutcome()
	var clients sync.WaitGroup
	for _, v := range m.VMs {
		for n := range clientsPerVM {
			clients.Go(func() { m.RunClient(ctx, v, fmt.Sprintf("c%d-%d", v.Index, n), o) })
		}
	}
	time.Sleep(time.Second)
	callsBefore := m.Store.Calls()
	var unknown sync.WaitGroup
	for n := range 200 {
		unknown.Go(func() { m.ask(t, m.VMs[n%len(m.VMs)], fmt.Sprintf("/read/u%d", n), keyMark+"unknown") })
		time.Sleep(5 * time.Millisecond)
	}
	unknown.Wait()
	calls := m.Store.Calls() - callsBefore
	t.Logf("%d calls of the store in about 1 s with 200 unknown keys", calls)
	is.True(calls < 60) // 3 data centres read 2 pages 2.2 times a second each
	cancel()
	clients.Wait()
	t.Log(o.Statuses)
	is.True(o.Statuses["200"] > 100)
	is.Equal(o.Statuses["401"], 0)

	results := make(map[string]map[string]int)
	probe := func(name, prefix, key string) {
		results[name] = make(map[string]int)
		var mu sync.Mutex
		var all sync.WaitGroup
		for _, v := range m.VMs {
			path := fmt.Sprintf("%s%s%d", prefix, strings.ReplaceAll(name, " ", "-"), v.Index)
			all.Go(func() {
				for _, org := range m.Organisations {
					for _, k := range org.Keys {
						if k == key {
							m.Runs.expect(path[1:], org.Name)
						}
					}
				}
				r := m.ask(t, v, path, key)
				mu.Lock()
				defer mu.Unlock()
				results[name][r]++
			})
		}
		all.Wait()
	}
	probe("no key", "/read/", "")
	probe("unknown key", "/read/", keyMark+"unknown")
	probe("public without a key", "/other/", "")
	probe("public with an unknown key", "/other/", keyMark+"unknown")
	probe("public with a key", "/other/", m.Organisations[1].Keys[1])
	list := append(organisations(5), Organisation{Name: "new", Keys: []string{keyMark + "new"}})
	m.Publish(list)
	probe("new key at once", "/read/", keyMark+"new")
	m.Publish(list[1:])
	time.Sleep(applyTime)
	probe("revoked key", "/read/", list[0].Keys[0])
	probe("remaining key", "/read/", list[1].Keys[0])
	var b strings.Builder
	for _, name := range []string{"no key", "unknown key", "public without a key", "public with an unknown key", "public with a key",
		"new key at once", "revoked key", "remaining key"} {
		fmt.Fprintln(&b, name, results[name])
	}
	golden.Check(t, "organisations", b.String())
	m.checkNoKey(t, c)
	for _, b := range append(m.OwnEnds(), m.CheckExecutions(o)...) {
		t.Error(b)
	}
}

// checkNoKey fails the test if a log, a metrics page or a span contains a key.
func (m *Mesh) checkNoKey(t *testing.T, c *spanCollector) {
	t.Helper()
	for _, v := range m.VMs {
		logged, err := os.ReadFile(filepath.Join(m.Folder, fmt.Sprintf("vm%d.log", v.Index)))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.Get(fmt.Sprintf("http://%v/metrics", m.address(v.Index, portMetrics)))
		if err != nil {
			t.Fatal(err)
		}
		page, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		for name, text := range map[string]string{"log": string(logged), "metrics page": string(page)} {
			if strings.Contains(text, keyMark) {
				t.Errorf("the %s of VM %d contains a key", name, v.Index)
			}
		}
		if !strings.Contains(string(page), `result="unknown_key"`) || !strings.Contains(string(logged), "unknown key") {
			t.Errorf("VM %d reports no unknown key", v.Index)
		}
	}
	// Spans are sent in batches, at the latest after 5 s.
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c.mu.Lock()
		n := len(c.spans)
		c.mu.Unlock()
		if n > 100 {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.spans) <= 100 {
		t.Errorf("%d spans arrived", len(c.spans))
	}
	for _, s := range c.spans {
		if text := prototext.Format(s); strings.Contains(text, keyMark) {
			t.Errorf("a span contains a key: %s", text)
		}
	}
}

// TestStaleConfiguration guards against keys that are accepted although the store is
// away for longer than the bound of their revocation, against 401 meanwhile, against
// sidecars that are then ready, and against public requests that are refused for that.
func TestStaleConfiguration(t *testing.T) {
	is := is.New(t)
	m := &Mesh{Program: program, Folder: t.TempDir(), Services: map[string]int{"alpha": 2, "beta": 1}, Network: 92,
		Organisations: organisations(2), PublicRoutes: []string{"other"}, KeyRevocation: 2 * time.Second}
	defer m.Stop()
	is.NoErr(m.Start(t.Context()))
	key := m.Organisations[0].Keys[0]
	var b strings.Builder
	show := func(name string) {
		for n, v := range m.VMs {
			read, other := fmt.Sprintf("/read/%s%d", name, n), fmt.Sprintf("/other/%s%d", name, n)
			if name != "stale" {
				m.Runs.expect(read[1:], m.Organisations[0].Name)
				m.Runs.expect(other[1:], m.Organisations[0].Name)
			}
			fmt.Fprintf(&b, "%s: key %s; unknown %s; public %s; ready %t\n", name, m.ask(t, v, read, key),
				m.ask(t, v, read+"u", keyMark+"unknown"), m.ask(t, v, other, key), m.isReady(t.Context(), v))
		}
	}
	show("fresh")
	m.Store.SetMode(Unavailable)
	time.Sleep(m.KeyRevocation + 500*time.Millisecond)
	show("stale")
	m.Store.SetMode(Healthy)
	time.Sleep(2 * applyTime)
	show("again")
	golden.Check(t, "stale", b.String())
	for _, b := range append(m.OwnEnds(), m.CheckExecutions(NewOutcome())...) {
		t.Error(b)
	}
}
