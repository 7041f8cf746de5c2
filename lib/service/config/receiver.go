package config

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"time"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/delta"
	"cassiarack.example/lib/platform"
	"cassiarack.example/lib/wire"
)

const (
	// fetchTimeout limits the time of a transfer. What was received is kept, so
	// that the next transfer continues from there.
	fetchTimeout = 30 * time.Second
	// stallTimeout limits the wait for the next part. If the answers of a node are
	// lost, the receiver must still be able to fetch from another node within the
	// 4 s in which a revision should reach every node.
	stallTimeout = time.Second
	// maxDocuments limits the number of documents in a manifest of another node.
	maxDocuments = 1024
	// maxCompletedBytes limits the total size of the documents kept from transfers
	// that failed, in bytes.
	maxCompletedBytes = 64 << 20
)

// pull is a request to fetch a revision from a node. have is the content that this
// node holds, or nil.
type pull struct {
	rev  config.Revision
	from source
	have *Content
}

// receiver is the state of the goroutine that fetches documents from other nodes.
type receiver struct {
	s *Service
	// completed contains, by name, the documents that were received completely in
	// this transfer and in failed ones before it.
	completed map[string]config.Document
	// partial is the document of which only the first bytes were received.
	partial struct {
		name   string
		digest delta.Digest
		text   []byte
	}
}

// receive fetches documents until ctx is done, one transfer at a time.
func (s *Service) receive(ctx context.Context) {
	r := &receiver{s: s, completed: make(map[string]config.Document)}
	for {
		p, err := s.pulls.Take(ctx)
		if err != nil {
			return
		}
		content, err := r.fetch(ctx, p)
		if s.commands.Put(ctx, pulled{content: content, from: p.from, err: err}) != nil {
			return
		}
	}
}

// fetch fetches the documents of a revision that this node lacks.
func (r *receiver) fetch(ctx context.Context, p pull) (*Content, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	stall := time.AfterFunc(stallTimeout, cancel)
	defer stall.Stop()
	stream, err := wire.NewDRPCFleetClient(r.s.peers.Conn(ctx, p.from.node)).Fetch(ctx, r.request(p))
	if err != nil {
		return nil, fmt.Errorf("fetch revision %d: %w", p.rev.Number, err)
	}
	defer func() {
		if err := stream.Close(); err != nil {
			r.s.Log.Debug("Closing the transfer failed.", "err", err)
		}
	}()
	part, err := stream.Recv()
	if err != nil {
		return nil, fmt.Errorf("fetch revision %d: %w", p.rev.Number, err)
	}
	m := fromManifest(part.GetManifest())
	if err := r.checkManifest(p, part.GetManifest(), m); err != nil {
		return nil, err
	}
	for {
		stall.Reset(stallTimeout)
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("fetch revision %d: %w", m.Revision, err)
		}
		if err := r.handleDelta(p, m, part.GetDelta()); err != nil {
			return nil, fmt.Errorf("fetch revision %d: %w", m.Revision, err)
		}
	}
	return r.assemble(p, m)
}

// request returns the request for a transfer. It lists the documents that this node
// has, completely or in part.
func (r *receiver) request(p pull) *wire.FetchRequest {
	out := &wire.FetchRequest{Wanted: p.rev.Number, PartialName: r.partial.name,
		PartialSize: int64(len(r.partial.text)), PartialDigest: r.partial.digest[:]}
	add := func(name string, d config.Document) {
		out.Held = append(out.Held, &wire.Document{Name: name, Size: int64(len(d.Text)), Digest: d.Digest[:]})
	}
	if p.have != nil {
		for name, d := range p.have.Documents {
			if _, ok := r.completed[name]; !ok {
				add(name, d)
			}
		}
	}
	for name, d := range r.completed {
		add(name, d)
	}
	return out
}

// checkManifest returns an error if the manifest is older than the wanted revision,
// does not match its digest or has too many documents.
func (r *receiver) checkManifest(p pull, w *wire.Manifest, m *platform.Manifest) error {
	rev := fromRevision(w.GetRevision())
	switch {
	case rev.Number < p.rev.Number || rev.Digest != m.Digest():
		return fmt.Errorf("fetch revision %d: manifest of revision %d is too old or does not match its digest", p.rev.Number, rev.Number)
	case len(m.Documents) > maxDocuments:
		return fmt.Errorf("fetch revision %d: manifest has %d documents, limit is %d", p.rev.Number, len(m.Documents),
			maxDocuments)
	}
	return nil
}

// handleDelta handles a delta or a part of a document.
func (r *receiver) handleDelta(p pull, m *platform.Manifest, d *wire.Delta) error {
	digest, ok := digestOf(m, d.GetName())
	if !ok {
		return fmt.Errorf("document %q is not in the manifest", d.GetName())
	}
	if len(d.GetBase()) > 0 {
		return r.applyDelta(p, digest, d)
	}
	if r.partial.name != d.GetName() || r.partial.digest != digest || d.GetOffset() == 0 {
		r.partial.name, r.partial.digest, r.partial.text = d.GetName(), digest, nil
	}
	if d.GetOffset() != int64(len(r.partial.text)) || len(r.partial.text)+len(d.GetInserted()) > delta.MaxDocument {
		r.partial.name, r.partial.text = "", nil
		return fmt.Errorf("document %q: part at offset %d is out of sequence or exceeds the size limit", d.GetName(), d.GetOffset())
	}
	r.partial.text = append(r.partial.text, d.GetInserted()...)
	if !d.GetLast() {
		return nil
	}
	doc := config.NewDocument(r.partial.text)
	r.partial.name, r.partial.text = "", nil
	if doc.Digest != digest {
		return fmt.Errorf("document %q: content does not match its digest", d.GetName())
	}
	r.addCompleted(d.GetName(), doc)
	return nil
}

// applyDelta applies a delta to the version of the document that this node has.
func (r *receiver) applyDelta(p pull, digest delta.Digest, d *wire.Delta) error {
	base, ok := r.completed[d.GetName()]
	if !ok && p.have != nil {
		base = p.have.Documents[d.GetName()]
	}
	dd := delta.Delta{Result: digest, Offset: d.GetOffset(), Removed: d.GetRemoved(), Inserted: d.GetInserted()}
	copy(dd.Base[:], d.GetBase())
	text, err := dd.Apply(base.Text)
	if err != nil {
		return fmt.Errorf("document %q: %w", d.GetName(), err)
	}
	r.addCompleted(d.GetName(), config.Document{Digest: digest, Text: text})
	return nil
}

// addCompleted keeps a received document until a transfer is complete. If the kept
// documents would exceed maxCompletedBytes, all earlier ones are dropped.
func (r *receiver) addCompleted(name string, d config.Document) {
	size := len(d.Text)
	for _, other := range r.completed {
		size += len(other.Text)
	}
	if size > maxCompletedBytes {
		clear(r.completed)
	}
	r.completed[name] = d
}

// assemble returns the content of a manifest from the received documents and those
// that this node already had.
func (r *receiver) assemble(p pull, m *platform.Manifest) (*Content, error) {
	documents := make(map[string]config.Document, len(m.Documents))
	for _, d := range m.Documents {
		if doc, ok := r.completed[d.Name]; ok && hex.EncodeToString(doc.Digest[:]) == d.SHA256 {
			documents[d.Name] = doc
		} else if doc, ok := p.have.Reuse(d); ok {
			documents[d.Name] = doc
		}
	}
	clear(r.completed)
	return NewContent(m, documents)
}

// digestOf returns the digest of a document in a manifest, and whether the manifest
// contains the document with a valid digest.
func digestOf(m *platform.Manifest, name string) (delta.Digest, bool) {
	for _, d := range m.Documents {
		if d.Name == name {
			var out delta.Digest
			n, err := hex.Decode(out[:], []byte(d.SHA256[:min(len(d.SHA256), 2*len(out))]))
			return out, err == nil && n == len(out)
		}
	}
	return delta.Digest{}, false
}
