package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/delta"
	"cassiarack.example/lib/platform"
)

// Content is the verified documents of a revision. It is immutable.
type Content struct {
	Revision  config.Revision
	Manifest  *platform.Manifest
	Documents map[string]config.Document
}

// NewContent verifies the documents of a manifest.
func NewContent(m *platform.Manifest, documents map[string]config.Document) (*Content, error) {
	for _, d := range m.Documents {
		have, ok := documents[d.Name]
		if !ok || hex.EncodeToString(have.Digest[:]) != d.SHA256 {
			return nil, fmt.Errorf("content of revision %d: document %q is missing or differs", m.Revision, d.Name)
		}
	}
	return &Content{Revision: config.Revision{Number: m.Revision, Digest: m.Digest()}, Manifest: m,
		Documents: documents}, nil
}

// Reuse returns the document that the content has for an entry of another
// manifest. A nil content has none.
func (c *Content) Reuse(d platform.Document) (config.Document, bool) {
	if c == nil {
		return config.Document{}, false
	}
	have, ok := c.Documents[d.Name]
	return have, ok && hex.EncodeToString(have.Digest[:]) == d.SHA256
}

// maxSupersededBytes bounds the memory of superseded documents, in bytes.
const maxSupersededBytes = 8 << 20

// superseded holds superseded documents, the newest last, as bases of deltas for
// nodes that are a few revisions behind. It is immutable.
type superseded struct {
	documents []config.Document
}

// add returns the superseded documents after next replaced old.
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
