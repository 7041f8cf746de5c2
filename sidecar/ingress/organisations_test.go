package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/clock"
	"cassiarack.example/lib/decision/organisation"
	"cassiarack.example/lib/decision/routing"
	"cassiarack.example/lib/golden"
	"cassiarack.example/platform"
	"cassiarack.example/sidecar/authentication"
)

// Proof implements authentication.Proofs. The configuration is always recent enough
// to refuse unknown keys.
func (f *fakeServices) Proof() (uint64, time.Time) { return 1, clock.Boot().Add(time.Hour) }

// Fresh implements authentication.Proofs.
func (f *fakeServices) Fresh(time.Time) bool { return true }

// ProofChanged implements authentication.Proofs.
func (f *fakeServices) ProofChanged() <-chan struct{} { return nil }

// lines collects log lines.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// startOrganisations runs an ingress with real authentication and the organisations in
// list. The prefix /a/ needs a key and /p/ does not.
func startOrganisations(t *testing.T, list []organisation.Organisation) (f *fakeServices, address string, logged *lines) {
	t.Helper()
	route := func(name, prefix string, public bool) routing.Route {
		return routing.Route{Name: name, Host: "h.example", Prefix: prefix, Timeout: 5 * time.Second, Public: public,
			Destinations: []routing.Destination{{Service: "s", Weight: 1}}}
	}
	f = newFakeServices(&routing.Configuration{Version: 1, Limits: routing.Limits{HeaderBytes: 24 << 10},
		Routes: []routing.Route{route("keyed", "/a/", false), route("public", "/p/", true)}})
	register, err := organisation.NewRegister(nil, list)
	if err != nil {
		t.Fatal(err)
	}
	f.state.Table.Register = register
	logged = &lines{}
	logger := log.NewWithOptions(logged, log.Options{Level: log.DebugLevel, Formatter: log.LogfmtFormatter})
	s := &authentication.Service{Now: clock.Boot, Scope: tally.NoopScope, Log: logger}
	service, address, _ := startWith(t, f, s)
	service.Log = logger
	return f, address, logged
}

// last returns the last forwarded request, or nil, and forgets all of them.
func (f *fakeServices) last() (target, callerOrganisation string, header http.Header) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.requests) == 0 {
		return "", "", nil
	}
	r := f.requests[len(f.requests)-1]
	f.requests = nil
	if r.Organisation != nil {
		callerOrganisation = r.Organisation.Name
	}
	return r.Target, callerOrganisation, r.Header
}

// organisationHeader returns the name of the header that names the organisation to an
// instance.
func organisationHeader() string {
	for k, v := range platform.RequestHeader(nil, platform.Sender{Service: "s", Organisation: "o"}) {
		if v[0] == "o" {
			return k
		}
	}
	panic("no header names the organisation")
}

// exchange sends a request with the given header lines and describes what came of it.
func (f *fakeServices) exchange(t *testing.T, address, path string, headers []string) string {
	t.Helper()
	c := dial(t, address)
	defer c.Close()
	text := "GET " + path + " HTTP/1.1\r\nHost: h.example\r\n"
	for _, h := range headers {
		text += h + "\r\n"
	}
	if _, err := io.WriteString(c, text+"\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	out := fmt.Sprint(resp.StatusCode)
	if resp.StatusCode != http.StatusOK {
		out += fmt.Sprintf(" %q challenge %q", strings.TrimSpace(string(body)), resp.Header.Get("Www-Authenticate"))
	}
	_, name, header := f.last()
	if header == nil {
		return out
	}
	var shown []string
	for k, values := range header {
		switch k {
		case organisationHeader():
			shown = append(shown, fmt.Sprintf("name=%q", values))
		case "Authorization":
			shown = append(shown, fmt.Sprintf("%s=%.40q", k, values))
		}
	}
	slices.Sort(shown)
	return out + fmt.Sprintf(" organisation %q forwarded %v", name, shown)
}

// TestKeys guards against requests that are served for an organisation whose key they
// do not have, against keys and forged names of organisations that reach an instance,
// against log lines with keys, and against the refusal of public requests. Without the
// service, every request is served; without the removal of the headers, the golden file
// shows the keys or forged names.
func TestKeys(t *testing.T) {
	long := strings.Repeat("Secret", 16<<10/6)
	list := []organisation.Organisation{
		{Name: "first", Keys: []organisation.Key{organisation.NewKey("Secret1"), organisation.NewKey("Secret\xfc\xff")}},
		{Name: "second", Priority: 1, Keys: []organisation.Key{organisation.NewKey("Secret2"), organisation.NewKey(long)}},
	}
	forms := []struct {
		name    string
		headers []string
	}{
		{"none", nil},
		{"key", []string{"Authorization: Bearer Secret1"}},
		{"key of another organisation", []string{"authorization: bearer Secret2"}},
		{"other case of the scheme", []string{"AUTHORIZATION: BeArEr Secret1"}},
		{"bytes above 0x7F", []string{"Authorization: Bearer Secret\xfc\xff"}},
		{"unknown bytes above 0x7F", []string{"Authorization: Bearer Secret\xfc\xfe"}},
		{"16 KB", []string{"Authorization: Bearer " + long}},
		{"unknown 16 KB", []string{"Authorization: Bearer " + long + "x"}},
		{"beyond the limit of a head", []string{"Authorization: Bearer " + long + long}},
		{"unknown", []string{"Authorization: Bearer Secret3"}},
		{"other case of the key", []string{"Authorization: Bearer secret1"}},
		{"other scheme", []string{"Authorization: Basic Secret1"}},
		{"no scheme", []string{"Authorization: Secret1"}},
		{"empty key", []string{"Authorization: Bearer "}},
		{"empty header", []string{"Authorization:"}},
		{"two headers", []string{"Authorization: Bearer Secret1", "authorization: Bearer Secret1"}},
		{"two organisations", []string{"Authorization: Bearer Secret1", "Authorization: Bearer Secret2"}},
		{"list", []string{"Authorization: Bearer Secret1, Bearer Secret2"}},
		{"forged name", []string{organisationHeader() + ": second"}},
		{"key and forged name", []string{"Authorization: Bearer Secret1", strings.ToLower(organisationHeader()) + ": second",
			strings.ToUpper(organisationHeader()) + ": third"}},
		{"key and a Connection header", []string{"Authorization: Bearer Secret1", "Connection: authorization, " + organisationHeader()}},
	}
	f, address, logged := startOrganisations(t, list)
	var b strings.Builder
	for _, path := range []string{"/a/x", "/p/x"} {
		for _, form := range forms {
			fmt.Fprintf(&b, "%s %s: %s\n", path, form.name, f.exchange(t, address, path, form.headers))
		}
	}
	text := logged.String()
	if strings.Contains(strings.ToLower(text+b.String()), "secret") {
		t.Errorf("a key was logged, forwarded or returned:\n%.2000s", text)
	}
	if !strings.Contains(text, "missing key") {
		t.Errorf("no refusal was logged:\n%s", text)
	}
	golden.Check(t, "keys", b.String())
}

// TestWithoutOrganisations guards against a deployment without organisations that loses
// its Authorization headers or must send keys, and against clients that send the name
// of an organisation there.
func TestWithoutOrganisations(t *testing.T) {
	is := is.New(t)
	f, address, _ := startOrganisations(t, nil)
	var b strings.Builder
	for _, headers := range [][]string{nil, {"Authorization: Basic a2V5"}, {"Authorization: Bearer k", "Authorization: x"},
		{"Authorization: Bearer k", organisationHeader() + ": forged"}} {
		for _, path := range []string{"/a/x", "/p/x"} {
			fmt.Fprintf(&b, "%s with %d headers: %s\n", path, len(headers), f.exchange(t, address, path, headers))
		}
	}
	is.True(f.state.Table.Register == nil)
	golden.Check(t, "without_organisations", b.String())
}
