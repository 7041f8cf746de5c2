package config

import (
	"crypto/sha256"
	"errors"
	"maps"
	"slices"
	"strings"

	"cassiarack.example/lib/input/register"
	"cassiarack.example/lib/input/rules"
)

// Prefixes of the names of documents, which tell registers from rules.
const (
	RegisterPrefix = "register"
	RulesPrefix    = "rules"
)

// Document is the text of a document and its SHA-256.
type Document struct {
	Digest [sha256.Size]byte
	Text   []byte
}

// NewDocument returns a document with its digest.
func NewDocument(text []byte) Document {
	return Document{Digest: sha256.Sum256(text), Text: text}
}

// Compiler decodes and compiles successive revisions. It decodes only the
// documents that changed, as decoding a register of the target size takes 2 s.
// It is not safe for concurrent use.
type Compiler struct {
	decoded map[string]decoded
	cache   compileCache
}

// decoded is the result of decoding one document.
type decoded struct {
	digest   [sha256.Size]byte
	register *register.Register
	rules    *rules.Rules
	err      error
}

// Decode decodes and compiles the documents of a revision. Documents maps the
// name of each document to it. The error holds the faults of all documents.
// Nothing is compiled unless every document can be decoded.
func (c *Compiler) Decode(rev Revision, documents map[string]Document) (*Configuration, error) {
	next := make(map[string]decoded, len(documents))
	var regs []*register.Register
	var rs []*rules.Rules
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(documents)) {
		d, ok := c.decoded[name]
		if !ok || d.digest != documents[name].Digest {
			d = decodeDocument(name, documents[name])
		}
		next[name] = d
		switch {
		case d.err != nil:
			errs = append(errs, d.err)
		case d.register != nil:
			regs = append(regs, d.register)
		default:
			rs = append(rs, d.rules)
		}
	}
	c.decoded = next
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return c.compile(rev, regs, rs)
}

func decodeDocument(name string, doc Document) decoded {
	d := decoded{digest: doc.Digest}
	switch {
	case strings.HasPrefix(name, RegisterPrefix):
		d.register, d.err = register.Decode(name, doc.Text)
	case strings.HasPrefix(name, RulesPrefix):
		d.rules, d.err = rules.Decode(name, doc.Text)
	default:
		d.err = &Error{Op: "decode", Kind: KindUnknown, Found: "document " + name,
			Allowed: "names that start with " + RegisterPrefix + " or " + RulesPrefix}
	}
	return d
}

// Decode decodes and compiles the documents of a single revision; see
// Compiler.Decode for successive ones.
func Decode(rev Revision, documents map[string][]byte) (*Configuration, error) {
	docs := make(map[string]Document, len(documents))
	for name, text := range documents {
		docs[name] = NewDocument(text)
	}
	var c Compiler
	return c.Decode(rev, docs)
}
