package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/delta"
	"cassiarack.example/lib/platform"
)

// Content contains the verified documents of a revision. It is immutable.
type Content struct {
	Revision  config.Revision
	Manifest  *platform.Manifest
	Documents map[string]config.Document
}

// NewContent returns the content of a manifest. It returns an error if a document of
// the manifest is missing or does not match its digest.
func NewContent(m *platform.Manifest, documents map[string]config.Document) (*Content, error) {
	for _, d := range m.Documents {
		have, ok := documents[d.Name]
		if !ok || hex.EncodeToString(have.Digest[:]) != d.SHA256 {
			return nil, fmt.Errorf("content of revision %d: document %q is missing or does not match its digest", m.Revision, d.Name)
		}
	}
	return &Content{Revision: config.Revision{Number: m.Revision, Digest: m.Digest()}, Manifest: m,
		Documents: documents}, nil
}

// Reuse returns the document for an entry of another manifest, and whether the
// content contains the same document. A nil Content contains none.
func (c *Content) Reuse(d platform.Document) (config.Document, bool) {
	if c == nil {
		return config.Document{}, false
	}
	have, ok := c.Documents[d.Name]
	return have, ok && hex.EncodeToString(have.Digest[:]) == d.SHA256
}

// maxSupersededBytes limits the total size of the superseded documents, in bytes.
const maxSupersededBytes = 8 << 20

// superseded contains documents of earlier revisions, the newest last. They are the
// bases of deltas for nodes that are a few revisions behind. It is immutable.
type superseded struct {
	documents []config.Document
}

// add returns e with the documents of old that next replaces. The oldest documents
// are dropped to keep the total size within maxSupersededBytes.
func (e *superseded) add(old, next *Content) *superseded {
	if old == nil {
		return e
	}
	out := &superseded{}
	if e != nil {
		out.documents = append(out.documents, e.documents...)
	}
	for name, d := range old.Documents {
		if next.Documents[name].Digest != d.Digest {
			out.documents = append(out.documents, d)
		}
	}
	size, from := 0, len(out.documents)
	for from > 0 && size+len(out.documents[from-1].Text) <= maxSupersededBytes {
		from--
		size += len(out.documents[from].Text)
	}
	out.documents = out.documents[from:]
	return out
}

// findText returns the text of the superseded document with a digest.
func (e *superseded) findText(digest []byte) ([]byte, bool) {
	if e == nil || len(digest) != sha256.Size {
		return nil, false
	}
	for _, d := range e.documents {
		if d.Digest == delta.Digest(digest) {
			return d.Text, true
		}
	}
	return nil, false
}
