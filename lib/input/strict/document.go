package strict

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// Document is a parsed file. Its methods record faults, so that a caller can
// check the whole file and report all faults together.
type Document struct {
	file   string
	text   []byte
	lines  []int
	root   hujson.Value
	faults Errors
}

// Parse parses JSON with comments and trailing commas. A syntax error is
// recorded as a fault of the document, whose root is then empty.
func Parse(file string, text []byte) *Document {
	d := &Document{file: file, text: text}
	root, err := hujson.Parse(text)
	if err != nil {
		d.addSyntaxError(err)
		return d
	}
	d.root = root
	return d
}

func (d *Document) addSyntaxError(err error) {
	line, column := 0, 0
	var where string
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d: %s", &line, &column, &where); n >= 2 {
		msg := err.Error()
		if i := strings.Index(msg, ": "); i >= 0 {
			msg = msg[i+2:]
		}
		if _, rest, ok := strings.Cut(msg, ": "); ok {
			msg = rest
		}
		d.faults = append(d.faults, &Error{Op: "decode", Kind: KindSyntax, File: d.file,
			Line: line, Column: column, Found: msg, Allowed: "JSON with comments"})
		return
	}
	d.faults = append(d.faults, &Error{Op: "decode", Kind: KindSyntax, File: d.file,
		Found: err.Error(), Allowed: "JSON with comments"})
}

// Err returns all faults, ordered by place, or nil.
func (d *Document) Err() error {
	slices.SortStableFunc(d.faults, func(a, b *Error) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return d.faults.Err()
}

// Root returns the document's top value as an object.
func (d *Document) Root() *Object {
	if len(d.faults) > 0 {
		return &Object{doc: d}
	}
	return d.object(nil, "", notElement, &d.root)
}

func (d *Document) addFault(kind Kind, key string, offset int, found, allowed string) {
	at := d.position(offset)
	d.faults = append(d.faults, &Error{Op: "check", Kind: kind, File: at.File, Line: at.Line, Column: at.Column,
		Key: key, Found: found, Allowed: allowed})
}

// Position is where a value stands.
type Position struct {
	File string
	// Line and Column start at one.
	Line, Column int
}

// String returns the place in the form that editors understand.
func (p Position) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

func (d *Document) position(offset int) Position {
	offset = min(max(offset, 0), len(d.text))
	// Line starts are found once, as a register of the target size has 100,000
	// objects and each has its place.
	if d.lines == nil {
		d.lines = lineStarts(d.text)
	}
	line, exact := slices.BinarySearch(d.lines, offset)
	if !exact {
		line--
	}
	return Position{File: d.file, Line: line + 1, Column: offset - d.lines[line] + 1}
}

// lineStarts returns the offsets at which lines start.
func lineStarts(text []byte) []int {
	starts := []int{0}
	for i, c := range text {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// Object gives access to the members of an object. Members that were not asked
// for by the time of Close are unknown keys.
type Object struct {
	doc *Document
	// parent and name or index give the path, which is rendered only for faults, as
	// a register of the target size has 300,000 objects.
	parent *Object
	name   string
	index  int
	offset int
	// parsed is set if the value is an object. Objects have few members, so that
	// a search is faster than a map.
	parsed    bool
	members   []member
	requested []string
}

// member is a key of an object with its value.
type member struct {
	name      string
	offset    int
	value     *hujson.Value
	requested bool
}

// notElement is the index of an object that is not an element of an array.
const notElement = -1

func (d *Document) object(in *Object, name string, index int, v *hujson.Value) *Object {
	o := &Object{doc: d, parent: in, name: name, index: index, offset: v.StartOffset, parsed: true}
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addFault(KindType, o.path(), v.StartOffset, describe(v), "an object")
		return o
	}
	o.members = make([]member, 0, len(obj.Members))
	for i := range obj.Members {
		m := &obj.Members[i]
		name := unquote(m.Name.Value.(hujson.Literal))
		if o.find(name) != nil {
			d.addFault(KindDuplicate, o.key(name), m.Name.StartOffset, "a second "+strconv.Quote(name), "each key once")
			continue
		}
		o.members = append(o.members, member{name: name, offset: m.Name.StartOffset, value: &m.Value})
	}
	return o
}

// unquote returns the string of a literal that was parsed as a string. One without
// an escape needs no decoding.
func unquote(lit hujson.Literal) string {
	if bytes.IndexByte(lit, '\\') < 0 && utf8.Valid(lit) {
		return string(lit[1 : len(lit)-1])
	}
	return lit.String()
}

func (o *Object) find(name string) *member {
	for i := range o.members {
		if o.members[i].name == name {
			return &o.members[i]
		}
	}
	return nil
}

// path returns the key of the object in its document.
func (o *Object) path() string {
	if o.parent == nil {
		return o.name
	}
	p := o.parent.key(o.name)
	if o.index != notElement {
		p = fmt.Sprintf("%s[%d]", p, o.index)
	}
	return p
}

func (o *Object) key(name string) string {
	p := o.path()
	if p == "" {
		return name
	}
	return p + "." + name
}

func (o *Object) member(name string) *hujson.Value {
	if m := o.find(name); m != nil {
		m.requested = true
		return m.value
	}
	if !slices.Contains(o.requested, name) {
		o.requested = append(o.requested, name)
	}
	return nil
}

// Position returns where the object stands.
func (o *Object) Position() Position { return o.doc.position(o.offset) }

// Has reports whether the object has the key.
func (o *Object) Has(name string) bool { return o.find(name) != nil }

// Close records a fault for each key that was not asked for.
func (o *Object) Close() {
	for _, m := range o.members {
		if !m.requested {
			o.doc.addFault(KindUnknown, o.key(m.name), m.offset, strconv.Quote(m.name), strings.Join(o.requestedKeys(), ", "))
		}
	}
}

// requestedKeys returns the keys that were asked for.
func (o *Object) requestedKeys() []string {
	out := slices.Clone(o.requested)
	for _, m := range o.members {
		if m.requested {
			out = append(out, m.name)
		}
	}
	slices.Sort(out)
	return out
}

// Reject records a value that a check beyond its type does not allow.
func (o *Object) Reject(name, found, allowed string) {
	offset := o.offset
	if m := o.find(name); m != nil {
		offset = m.value.StartOffset
	}
	key := o.path()
	if name != "" {
		key = o.key(name)
	}
	o.doc.addFault(KindValue, key, offset, found, allowed)
}

// Require records a fault if the key is missing.
func (o *Object) Require(name string) {
	if o.parsed && o.find(name) == nil {
		o.member(name)
		o.doc.addFault(KindMissing, o.key(name), o.offset, "no key "+strconv.Quote(name), strconv.Quote(name))
	}
}

// Objects returns the members of an array of objects.
func (o *Object) Objects(name string) []*Object {
	elements := o.elements(name)
	if len(elements) == 0 {
		return nil
	}
	out := make([]*Object, 0, len(elements))
	for i, v := range elements {
		out = append(out, o.doc.object(o, name, i, v))
	}
	return out
}

func (o *Object) elements(name string) []*hujson.Value {
	v := o.member(name)
	if v == nil {
		return nil
	}
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		o.doc.addFault(KindType, o.key(name), v.StartOffset, describe(v), "an array")
		return nil
	}
	out := make([]*hujson.Value, len(arr.Elements))
	for i := range arr.Elements {
		out[i] = &arr.Elements[i]
	}
	return out
}

// decode decodes a member of any scalar type.
func decode[T any](o *Object, name, allowed string) (T, bool) {
	v := o.member(name)
	if v == nil {
		var out T
		return out, false
	}
	return decodeValue[T](o, name, notElement, v, allowed)
}

// decodeValue decodes the value of a member, or an element of it.
func decodeValue[T any](o *Object, name string, index int, v *hujson.Value, allowed string) (T, bool) {
	var out T
	lit, ok := v.Value.(hujson.Literal)
	if s, isString := any(&out).(*string); ok && isString && lit.Kind() == '"' {
		*s = unquote(lit)
		return out, true
	}
	var err error
	if ok {
		err = json.Unmarshal(lit, &out)
	}
	if ok && err == nil && string(lit) != "null" {
		return out, true
	}
	var tooLarge *json.UnmarshalTypeError
	kind := KindType
	if errors.As(err, &tooLarge) && strings.HasPrefix(tooLarge.Value, "number ") {
		kind = KindValue
	}
	key := o.key(name)
	if index != notElement {
		key = fmt.Sprintf("%s[%d]", key, index)
	}
	o.doc.addFault(kind, key, v.StartOffset, describe(v), allowed)
	return out, false
}

func describe(v *hujson.Value) string {
	switch t := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		const longest = 60
		s := string(t)
		if len(s) > longest {
			s = s[:longest] + "..."
		}
		return s
	default:
		return "nothing"
	}
}
