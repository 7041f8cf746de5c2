package config

import (
	"context"
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/delta"
	"cassiarack.example/lib/platform"
	"cassiarack.example/lib/wire"
)

const (
	// maxTransfers limits the number of concurrent transfers to other nodes.
	maxTransfers = 2
	// transferWait is the longest time for which a request waits for its transfer
	// to begin. A transfer of deltas takes a few milliseconds. The wait is shorter
	// than stallTimeout, so that the receiver gets the refusal of a busy provider
	// before it gives up.
	transferWait = 500 * time.Millisecond
	// chunkSize is the largest size of a part of a document, in bytes.
	chunkSize = 64 << 10
)

// provider answers requests of other nodes from the published snapshot.
type provider struct {
	s *Service
}

// Confirm implements wire.DRPCFleetServer.
func (g *provider) Confirm(ctx context.Context, r *wire.ConfirmRequest) (*wire.ConfirmReply, error) {
	sn := g.s.snapshot.Load()
	if rev := fromRevision(r.GetRevision()); rev.Number > 0 {
		// The revision is lost if the ring is full. The caller asks again.
		_ = g.s.ObserveRevision(ctx, r.GetName(), netip.AddrPort{}, rev, r.GetServing())
	}
	if r.GetList() > sn.listNumber() && sn.conf != nil {
		if v, ok := sn.conf.VMs[r.GetName()]; ok {
			g.s.enqueueQuestion(v.Node)
		}
	}
	return &wire.ConfirmReply{Name: g.s.VM, Revision: toRevision(sn.held()), Serving: g.s.isServing(sn),
		List: sn.listNumber()}, nil
}

// List implements wire.DRPCFleetServer.
func (g *provider) List(_ context.Context, r *wire.ListRequest) (*wire.ListReply, error) {
	return g.s.snapshot.Load().list.changesAfter(r.GetAfter()), nil
}

// Fetch implements wire.DRPCFleetServer.
func (g *provider) Fetch(r *wire.FetchRequest, stream wire.DRPCFleet_FetchStream) error {
	ctx, cancel := context.WithTimeout(stream.Context(), transferWait)
	err := g.s.transfers.Put(ctx, struct{}{})
	cancel()
	if err != nil {
		return fmt.Errorf("%d transfers are under way", maxTransfers)
	}
	// Take does not block, because the ring contains the item of this transfer.
	defer func() { _, _ = g.s.transfers.Take(context.Background()) }()
	sn := g.s.snapshot.Load()
	if sn.held().Number < r.GetWanted() {
		return fmt.Errorf("revision %d is wanted, %d is held", r.GetWanted(), sn.held().Number)
	}
	t := &transfer{sn: sn, stream: stream, request: r, held: make(map[string][]byte)}
	for _, d := range r.GetHeld() {
		t.held[d.GetName()] = d.GetDigest()
	}
	return t.sendMissing()
}

// transfer sends to another node the documents that it lacks. held contains the
// digests of the documents that the other node has.
type transfer struct {
	sn      *snapshot
	stream  wire.DRPCFleet_FetchStream
	request *wire.FetchRequest
	held    map[string][]byte
}

// sendMissing sends the manifest and the documents that the other node lacks.
func (t *transfer) sendMissing() error {
	c := t.sn.content
	if err := t.send(&wire.FetchPart{Kind: &wire.FetchPart_Manifest{Manifest: toManifest(c)}}); err != nil {
		return err
	}
	for _, d := range c.Manifest.Documents {
		doc := c.Documents[d.Name]
		if string(t.held[d.Name]) == string(doc.Digest[:]) {
			continue
		}
		if err := t.sendDocument(d.Name, doc); err != nil {
			return err
		}
	}
	return nil
}

func (t *transfer) send(p *wire.FetchPart) error {
	if err := t.stream.Send(p); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	return nil
}

// sendDocument sends a delta if this node knows the version of the document that the
// receiver has. Otherwise it sends the document in parts, without the bytes that the
// receiver already got in an earlier transfer.
func (t *transfer) sendDocument(name string, doc config.Document) error {
	if base, ok := t.sn.superseded.findText(t.held[name]); ok {
		if d, ok := delta.Make(base, doc.Text); ok {
			return t.send(&wire.FetchPart{Kind: &wire.FetchPart_Delta{Delta: &wire.Delta{Name: name, Base: d.Base[:],
				Offset: d.Offset, Removed: d.Removed, Inserted: d.Inserted, Last: true}}})
		}
	}
	from := 0
	if t.request.GetPartialName() == name && string(t.request.GetPartialDigest()) == string(doc.Digest[:]) {
		from = int(min(max(t.request.GetPartialSize(), 0), int64(len(doc.Text))))
	}
	for {
		to := min(from+chunkSize, len(doc.Text))
		err := t.send(&wire.FetchPart{Kind: &wire.FetchPart_Delta{Delta: &wire.Delta{Name: name, Offset: int64(from),
			Inserted: doc.Text[from:to], Last: to == len(doc.Text)}}})
		if err != nil || to == len(doc.Text) {
			return err
		}
		from = to
	}
}

func toManifest(c *Content) *wire.Manifest {
	m := &wire.Manifest{Revision: toRevision(c.Revision)}
	for _, d := range c.Manifest.Documents {
		digest := c.Documents[d.Name].Digest
		m.Documents = append(m.Documents, &wire.Document{Name: d.Name, Size: d.Size, Digest: digest[:]})
	}
	return m
}

func fromManifest(m *wire.Manifest) *platform.Manifest {
	out := &platform.Manifest{Revision: m.GetRevision().GetNumber()}
	for _, d := range m.GetDocuments() {
		out.Documents = append(out.Documents, platform.Document{Name: d.GetName(), Size: d.GetSize(),
			SHA256: hex.EncodeToString(d.GetDigest())})
	}
	return out
}
