package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/floor"
	"cassiarack.example/lib/decision/member"
	"cassiarack.example/lib/wire"
)

const (
	// MaxDatagram is the largest size of a datagram, in bytes. It fits into one
	// packet on every usual network.
	MaxDatagram = 1200
	// maxReceived is the size of the receive buffer, in bytes. The extra byte shows
	// that a datagram is larger than MaxDatagram.
	maxReceived = MaxDatagram + 1
)

var (
	errSize      = errors.New("invalid datagram size")
	errMAC       = errors.New("invalid datagram authentication code")
	errMalformed = errors.New("malformed datagram")
)

// seal encodes a datagram and authenticates it with a key.
func seal(key []byte, d *wire.Datagram) ([]byte, error) {
	mac := hmac.New(sha256.New, key)
	out := make([]byte, sha256.Size, MaxDatagram)
	out, err := proto.MarshalOptions{}.MarshalAppend(out, d)
	if err != nil {
		return nil, fmt.Errorf("encode datagram: %w", err)
	}
	if len(out) > MaxDatagram {
		return nil, fmt.Errorf("%w: %d bytes", errSize, len(out))
	}
	mac.Write(out[sha256.Size:])
	mac.Sum(out[:0])
	return out, nil
}

// open verifies a datagram with any of the keys and decodes it.
func open(keys [][]byte, raw []byte) (*wire.Datagram, error) {
	if len(raw) <= sha256.Size || len(raw) > MaxDatagram {
		return nil, errSize
	}
	if !verifyMAC(keys, raw) {
		return nil, errMAC
	}
	d := &wire.Datagram{}
	if err := proto.Unmarshal(raw[sha256.Size:], d); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if d.GetSender() == "" || d.GetRun() == 0 {
		return nil, errMalformed
	}
	return d, nil
}

// verifyMAC reports whether the authentication code of a datagram is valid for one of
// the keys.
func verifyMAC(keys [][]byte, raw []byte) bool {
	for _, k := range keys {
		mac := hmac.New(sha256.New, k)
		mac.Write(raw[sha256.Size:])
		if hmac.Equal(mac.Sum(nil), raw[:sha256.Size]) {
			return true
		}
	}
	return false
}

var kinds = map[member.Kind]wire.DatagramKind{
	member.Ping:        wire.DatagramKind_DATAGRAM_KIND_PING,
	member.Ack:         wire.DatagramKind_DATAGRAM_KIND_ACK,
	member.PingRequest: wire.DatagramKind_DATAGRAM_KIND_PING_REQUEST,
	member.Announce:    wire.DatagramKind_DATAGRAM_KIND_ANNOUNCE,
}

var states = map[member.State]wire.MemberState{
	member.Alive:   wire.MemberState_MEMBER_STATE_ALIVE,
	member.Suspect: wire.MemberState_MEMBER_STATE_SUSPECT,
	member.Leaving: wire.MemberState_MEMBER_STATE_LEAVING,
	member.Dead:    wire.MemberState_MEMBER_STATE_DEAD,
}

func invert[K, V comparable](m map[K]V) map[V]K {
	out := make(map[V]K, len(m))
	for k, v := range m {
		out[v] = k
	}
	return out
}

var (
	fromKinds  = invert(kinds)
	fromStates = invert(states)
)

func toDatagram(m member.Message) *wire.Datagram {
	d := &wire.Datagram{Kind: kinds[m.Kind], Sender: m.From, Incarnation: m.Incarnation, Sequence: m.Sequence,
		Target: m.Target}
	if m.TargetAddress.IsValid() {
		d.TargetIp, d.TargetPort = fromAddress(m.TargetAddress)
	}
	for _, u := range m.Updates {
		w := &wire.MemberUpdate{Name: u.Name, Incarnation: u.Incarnation, State: states[u.State]}
		w.Ip, w.Port = fromAddress(u.Address)
		d.Members = append(d.Members, w)
	}
	return d
}

// fromDatagram returns the message of a datagram. Updates without a name or with an
// unknown state are left out, because a newer node may send states that this one does
// not know.
func fromDatagram(d *wire.Datagram, source netip.AddrPort) member.Message {
	m := member.Message{Kind: fromKinds[d.GetKind()], From: d.GetSender(), Incarnation: d.GetIncarnation(),
		Source: source, Sequence: d.GetSequence(), Target: d.GetTarget(),
		TargetAddress: toAddress(d.GetTargetIp(), d.GetTargetPort())}
	for _, w := range d.GetMembers() {
		s, ok := fromStates[w.GetState()]
		if !ok || w.GetName() == "" {
			continue
		}
		m.Updates = append(m.Updates, member.Update{Name: w.GetName(), Incarnation: w.GetIncarnation(), State: s,
			Address: toAddress(w.GetIp(), w.GetPort())})
	}
	return m
}

func fromAddress(a netip.AddrPort) ([]byte, uint32) {
	return a.Addr().Unmap().AsSlice(), uint32(a.Port())
}

// toAddress returns the zero AddrPort if ip or port is not valid.
func toAddress(ip []byte, port uint32) netip.AddrPort {
	a, ok := netip.AddrFromSlice(ip)
	if !ok || port == 0 || port > 0xffff {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(a.Unmap(), uint16(port))
}

func toRevision(r config.Revision) *wire.Revision {
	return &wire.Revision{Number: r.Number, Digest: r.Digest[:]}
}

// fromRevision returns the revision of a message. It reports false if the length of
// the digest is wrong.
func fromRevision(w *wire.Revision) (r config.Revision, ok bool) {
	if len(w.GetDigest()) != len(r.Digest) {
		return r, false
	}
	r.Number = w.GetNumber()
	copy(r.Digest[:], w.GetDigest())
	return r, true
}

func toLease(now time.Time, l floor.Lease) *wire.Lease {
	return &wire.Lease{Instance: l.Instance, Holder: l.Holder, Token: uint32(l.Token), Assignment: l.Assignment,
		Remaining: int64(l.Until.Sub(now)), Cause: l.Cause, Sequence: l.Sequence, Trial: uint32(l.TrialShare)}
}

// fromLeases returns the leases of a message that have not expired and whose instance
// is in the configuration. A lease is granted now, as the message contains the
// remaining time instead of the time of the sender's clock.
func fromLeases(now time.Time, c *config.Configuration, ws []*wire.Lease) []floor.Lease {
	var out []floor.Lease
	for _, w := range ws {
		i, ok := c.Instances[w.GetInstance()]
		if !ok || w.GetRemaining() <= 0 {
			continue
		}
		out = append(out, floor.Lease{Service: i.Service.Name, Instance: i.Name, Holder: w.GetHolder(),
			Token: int(w.GetToken()), Assignment: w.GetAssignment(), Sequence: w.GetSequence(), Granted: now,
			Until: now.Add(time.Duration(w.GetRemaining())), TrialShare: int(w.GetTrial()), Cause: w.GetCause()})
	}
	return out
}
