package proof

import (
	"bytes"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/service/admin"
	"cassiarack.example/standin/fleet"
)

// startWithTLS starts smallDeployment with TLS between nodes.
func startWithTLS(t *testing.T) *fleet.Fleet {
	t.Helper()
	a, err := fleet.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet.Fleet{Authority: a}
	startFleet(t, f, smallDeployment, "")
	return f
}

// TestUntrustedPeers guards against nodes that serve a peer without a certificate
// that the authority issued for a VM of the register, and against connections
// without TLS that stay open and occupy resources.
func TestUntrustedPeers(t *testing.T) {
	is := is.New(t)
	f := startWithTLS(t)
	v := f.VMs[0]
	other, err := fleet.NewAuthority()
	is.NoErr(err)
	is.True(isRefused(t, v, issueCertificate(t, other, v.Name)))         // another authority
	is.True(isRefused(t, v, issueCertificate(t, f.Authority, "nobody"))) // not in the register
	is.True(isRefused(t, v))                                             // no certificate
	is.True(isAccepted(t, v, issueCertificate(t, f.Authority, f.VMs[1].Name)))
	is.True(isLogged(t, f, v, "signed by unknown authority"))
	is.True(isLogged(t, f, v, `names no VM of the register: [\"nobody\"]`))
	for _, junk := range []int{0, 1, 5, 5000} {
		conn := dial(t, v.FleetAddress)
		text := make([]byte, junk)
		_, _ = rand.Read(text)
		// The write fails if the node has already closed the connection.
		_, _ = conn.Write(text)
		is.True(isClosedByNode(t, conn))
	}
	l := startLoad(t.Context(), f)
	waitUntil(t, "500 requests", func() bool { return l.sent.Load() > 500 })
	is.Equal(l.finish(), nil)
}

// isRefused reports whether the node closes a TLS connection with the given client
// certificates.
func isRefused(t *testing.T, v *fleet.VM, certs ...tls.Certificate) bool {
	return isClosedWithin(t, v, stateTimeout, certs)
}

// isAccepted reports whether the node keeps such a connection open for 2 s. The node
// sends nothing on an accepted connection, as the peer sends no request.
func isAccepted(t *testing.T, v *fleet.VM, certs ...tls.Certificate) bool {
	return !isClosedWithin(t, v, 2*time.Second, certs)
}

// isClosedWithin reports whether the node refuses the TLS handshake or closes the
// connection within d.
func isClosedWithin(t *testing.T, v *fleet.VM, d time.Duration, certs []tls.Certificate) bool {
	t.Helper()
	conn, err := tls.Dial("tcp", v.FleetAddress.String(), &tls.Config{Certificates: certs, InsecureSkipVerify: true})
	if err != nil {
		return true
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(d)); err != nil {
		t.Fatal(err)
	}
	_, err = conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// isClosedByNode reports whether the node closes a connection within stateTimeout.
func isClosedByNode(t *testing.T, conn net.Conn) bool {
	t.Helper()
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(stateTimeout)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 1<<10)
	for {
		// The node may send a TLS alert before it closes the connection.
		if _, err := conn.Read(buf); err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
}

// issueCertificate returns a certificate that a issues for the named VM, with its
// key.
func issueCertificate(t *testing.T, a *fleet.Authority, vm string) tls.Certificate {
	t.Helper()
	cert, key, err := a.Issue(vm)
	if err != nil {
		t.Fatal(err)
	}
	out, err := tls.X509KeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// countInLog returns how often text occurs in a node's log.
func countInLog(t *testing.T, f *fleet.Fleet, v *fleet.VM, text string) int {
	t.Helper()
	log, err := os.ReadFile(filepath.Join(f.Folder, v.Name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Count(log, []byte(text))
}

// isLogged reports whether text occurs in a node's log.
func isLogged(t *testing.T, f *fleet.Fleet, v *fleet.VM, text string) bool {
	return countInLog(t, f, v, text) > 0
}

// TestRotation guards against a replacement of keys and certificates that needs a
// restart or fails requests. It replaces the authority and the fleet keys under
// load, in three steps each.
func TestRotation(t *testing.T) {
	is := is.New(t)
	f := startWithTLS(t)
	l := startLoad(t.Context(), f)
	old := f.Authority
	next, err := fleet.NewAuthority()
	is.NoErr(err)
	for _, step := range []struct {
		issuer  *fleet.Authority
		trusted []*fleet.Authority
		keys    []string
	}{
		{old, []*fleet.Authority{old, next}, []string{"local fleet", "next key"}},
		{next, []*fleet.Authority{old, next}, []string{"next key", "local fleet"}},
		{next, []*fleet.Authority{next}, []string{"next key"}},
	} {
		f.Keys = step.keys
		for _, v := range f.VMs {
			before := countInLog(t, f, v, "Replaced credentials.")
			is.NoErr(f.WriteCredentials(v, step.issuer, step.trusted...))
			waitUntil(t, "new certificates at "+v.Name, func() bool {
				return countInLog(t, f, v, `Replaced credentials. cause="changed files"`) > 0 &&
					countInLog(t, f, v, "Replaced credentials.") > before
			})
			before = countInLog(t, f, v, "cause=signal")
			_, err := f.WriteSettings(v)
			is.NoErr(err)
			is.NoErr(v.Process.Process.Signal(syscall.SIGHUP))
			waitUntil(t, "new keys at "+v.Name, func() bool { return countInLog(t, f, v, "cause=signal") > before })
		}
	}
	is.Equal(l.finish(), nil)
	v := f.VMs[0]
	is.True(isRefused(t, v, issueCertificate(t, old, f.VMs[1].Name)))
	is.True(isAccepted(t, v, issueCertificate(t, next, f.VMs[1].Name)))
	since := time.Now()
	for _, v := range f.VMs {
		waitUntil(t, "messages from all members at "+v.Name, func() bool { return allMembersObserved(t, v, time.Since(since)) })
	}
}

// allMembersObserved reports whether the node considers all members alive and got a
// message from each of them within the given time.
func allMembersObserved(t *testing.T, v *fleet.VM, within time.Duration) bool {
	t.Helper()
	res, err := http.Get(fmt.Sprintf("http://%v/members", v.AdminAddress))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var ms []admin.MemberState
	if err := json.NewDecoder(res.Body).Decode(&ms); err != nil {
		t.Fatal(err)
	}
	for _, m := range ms {
		if m.State != "alive" || m.HeardSeconds < 0 || m.HeardSeconds > within.Seconds() {
			return false
		}
	}
	return len(ms) > 1
}
