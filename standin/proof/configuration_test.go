package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/decision/reader"
	"cassiarack.example/lib/decision/revision"
	"cassiarack.example/lib/platform"
	"cassiarack.example/lib/service/admin"
	"cassiarack.example/lib/service/front"
	"cassiarack.example/standin/fleet"
)

const (
	// spreadTimeout is generous, as CI machines are slow; the target is 4 s.
	spreadTimeout     = 30 * time.Second
	statePollInterval = 10 * time.Millisecond
)

// numberedRules renders rules whose text differs by n.
func numberedRules(n int) []byte {
	return fmt.Appendf(nil, "// change %d\n{}\n", n)
}

func readState(ctx context.Context, v *fleet.VM) (admin.State, error) {
	var st admin.State
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.AdminAddress.String()+"/state", nil)
	if err != nil {
		return st, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return st, err
	}
	defer res.Body.Close()
	err = json.NewDecoder(res.Body).Decode(&st)
	return st, err
}

// awaitState waits until the state of each VM with a process satisfies ok, and
// returns how long each took.
func awaitState(t *testing.T, vms []*fleet.VM, ok func(admin.State) bool) []time.Duration {
	t.Helper()
	start := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), spreadTimeout)
	defer cancel()
	var took []time.Duration
	for _, v := range vms {
		if v.Process == nil {
			continue
		}
		for {
			st, err := readState(ctx, v)
			if err == nil && ok(st) {
				took = append(took, time.Since(start))
				break
			}
			if ctx.Err() != nil {
				t.Fatalf("%s: %v, state %+v, %v", v.Name, ctx.Err(), st, err)
			}
			time.Sleep(statePollInterval)
		}
	}
	return took
}

// awaitRevision waits until a revision is in force and served everywhere.
func awaitRevision(t *testing.T, f *fleet.Fleet, number uint64) time.Duration {
	t.Helper()
	took := awaitState(t, f.VMs, func(s admin.State) bool { return s.Serving && s.Revision >= number })
	return took[len(took)-1]
}

// readers returns the VMs that read the platform when all are alive.
func readers(f *fleet.Fleet) []*fleet.VM {
	var members []reader.Member
	for _, v := range f.VMs {
		members = append(members, reader.Member{Name: v.Name, DataCentre: v.DataCentre, Alive: true})
	}
	var out []*fleet.VM
	for _, v := range f.VMs {
		if reader.IsReader(time.Time{}, v.Name, v.DataCentre, members) {
			out = append(out, v)
		}
	}
	return out
}

// spreadDeployment is a deployment with nodes that do not read the platform.
var spreadDeployment = fleet.Deployment{
	Name:        "spread",
	Region:      "north",
	DataCentres: []string{"north-1", "north-2", "north-3"},
	Services: []fleet.Service{
		{Name: "orders", Instances: 12, Slots: 3, Connections: 400, ServiceTime: 2 * time.Millisecond},
	},
}

// TestPublish guards against a change that does not reach every node, with all
// readers, with some of them killed in the middle, and with all of them killed.
func TestPublish(t *testing.T) {
	f := startDeployment(t, fleet.Latvia, "")
	for n := range 5 {
		took := awaitRevision(t, f, f.Publish(numberedRules(n)))
		t.Logf("%d nodes: change %d in force everywhere after %v", len(f.VMs), n, took)
	}
	rs := readers(f)
	number := f.Publish(numberedRules(100))
	killed := make(map[string]int)
	for i, r := range rs {
		// One reader of each data centre, and all of one.
		if killed[r.DataCentre] > 0 && r.DataCentre != rs[0].DataCentre {
			continue
		}
		killed[r.DataCentre]++
		if err := r.KillNode(); err != nil {
			t.Fatal(err)
		}
		t.Logf("killed reader %d of %d: %s", i+1, len(rs), r.Name)
	}
	awaitRevision(t, f, number)
	t.Logf("after the loss of readers: in force after %v", awaitRevision(t, f, f.Publish(numberedRules(101))))
	for _, r := range rs {
		if r.Process == nil {
			continue
		}
		if err := r.KillNode(); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("after the loss of all readers: in force after %v", awaitRevision(t, f, f.Publish(numberedRules(102))))
}

// TestReplacedNode guards against a node that cannot start without the
// platform, and against one that puts the older revision of a stale platform
// in force or shows it.
func TestReplacedNode(t *testing.T) {
	is := is.New(t)
	f := startDeployment(t, spreadDeployment, "")
	f.Publish(numberedRules(1))
	newest := f.Publish(numberedRules(2))
	awaitRevision(t, f, newest)
	for _, c := range []struct {
		name string
		set  func()
	}{
		{"platform down", func() { f.Platform.SetDown(true) }},
		{"platform stale", func() { f.Platform.SetDown(false); f.Platform.SetServedRevision(1) }},
	} {
		c.set()
		v := readers(f)[0]
		is.NoErr(v.KillNode())
		is.NoErr(f.StartNode(v))
		began := time.Now()
		awaitState(t, []*fleet.VM{v}, func(s admin.State) bool {
			if s.Revision != 0 && s.Revision < newest || s.Serving && s.Revision < newest {
				t.Fatalf("%s: %s shows %+v, the fleet has %d", c.name, v.Name, s, newest)
			}
			return s.Serving
		})
		t.Logf("%s: serves revision %d %v after its start", c.name, newest, time.Since(began))
		awaitRevision(t, f, newest)
	}
	awaitState(t, readers(f)[:1], func(s admin.State) bool {
		for _, r := range s.Rejections {
			if r.Verdict == revision.Older && r.Revision == 1 {
				return true
			}
		}
		return false
	})
	f.Platform.SetServedRevision(0)
	awaitRevision(t, f, f.Publish(numberedRules(3)))
}

// TestListOfVMs guards against a list of VMs that stays with the readers.
func TestListOfVMs(t *testing.T) {
	f := startDeployment(t, spreadDeployment, "")
	var vms []platform.VM
	for _, v := range f.VMs {
		vms = append(vms, platform.VM{Name: v.Name, State: platform.StateLive})
	}
	f.Platform.SetVMs(vms)
	vms[0].State = platform.StateLeaving
	f.Platform.SetVMs(vms[:len(vms)-1])
	awaitState(t, f.VMs, func(s admin.State) bool { return s.List == 2 })
}

// TestInvalidDocuments guards against an invalid revision in force, and against
// a rejection without a place and reason.
func TestInvalidDocuments(t *testing.T) {
	f := startDeployment(t, spreadDeployment, `{"floors": [{"service": "orders", "healthy": 6}]}`)
	good := f.Publish(numberedRules(1))
	awaitRevision(t, f, good)
	for _, c := range []struct{ rules, reason string }{
		{`{"floors": [{"service": "orders", "healthy": 1}, {"service": "none", "healthy": 1}]}`, "rules:1:"},
		{"{\n \"floor\": []}", "rules:2:2"},
		{"{", "rules:1"},
	} {
		bad := f.Publish([]byte(c.rules))
		awaitState(t, readers(f)[:1], func(s admin.State) bool {
			for _, r := range s.Rejections {
				if r.Revision == bad && r.Verdict == revision.Invalid && strings.Contains(r.Reason, c.reason) {
					t.Logf("rejected: %s", r.Reason)
					return true
				}
			}
			return false
		})
		awaitState(t, f.VMs, func(s admin.State) bool {
			if s.Revision != good {
				t.Fatalf("revision %d in force, want %d", s.Revision, good)
			}
			return s.Serving
		})
	}
	awaitRevision(t, f, f.Publish(numberedRules(2)))
}

// TestPausedNode guards against a node that serves with old facts after a
// pause: it must refuse until another node confirmed its revision.
func TestPausedNode(t *testing.T) {
	is := is.New(t)
	f := startDeployment(t, spreadDeployment, "")
	v := f.VMs[len(f.VMs)-1]
	is.NoErr(v.Process.Process.Signal(syscall.SIGSTOP))
	stopped := time.Now()
	number := f.Publish(numberedRules(1))
	awaitState(t, f.VMs[:len(f.VMs)-1], func(s admin.State) bool { return s.Revision == number })
	const pause = 5 * time.Second
	time.Sleep(pause - time.Since(stopped))
	is.NoErr(v.Process.Process.Signal(syscall.SIGCONT))
	woke := time.Now()
	awaitState(t, []*fleet.VM{v}, func(s admin.State) bool {
		if s.Serving && s.Revision < number {
			t.Fatalf("serves %d after the pause, the fleet has %d", s.Revision, number)
		}
		return s.Serving
	})
	t.Logf("serves %v after a pause of %v", time.Since(woke), pause)
}

// TestNotServing guards against a node that runs requests although no other
// node confirmed its configuration.
func TestNotServing(t *testing.T) {
	is := is.New(t)
	f := startDeployment(t, spreadDeployment, "")
	for _, v := range f.VMs[1:] {
		is.NoErr(v.KillNode())
	}
	v := f.VMs[0]
	is.NoErr(v.KillNode())
	is.NoErr(f.StartNode(v))
	awaitState(t, []*fleet.VM{v}, func(s admin.State) bool {
		is.True(!s.Serving)
		is.Equal(s.Revision, uint64(0))
		return s.Held == 1
	})
	res, err := http.Get("http://" + v.CallerAddress.String() + "/orders/1")
	is.NoErr(err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.Equal(res.Header.Get(front.HeaderOutcome), "not-run")
	is.True(strings.Contains(string(body), "not-serving"))
	for _, v := range f.VMs[1:] {
		is.NoErr(f.StartNode(v))
	}
	awaitRevision(t, f, 1)
}
