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

// Document is a parsed file. Its objects record faults in it, so that a caller
// can check the whole file and report all faults together. Err returns them.
type Document struct {
	file string
	text []byte
	// lines holds the byte offsets at which lines start, once position was called.
	lines  []int
	root   hujson.Value
	faults Errors
}

// Parse parses JSON with comments and trailing commas. A syntax error is
// recorded as a fault of the document, whose root then has no keys. The name
// of the file appears in errors only.
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

// addSyntaxError records an error of hujson.Parse. The line and column are in the
// text of the error only.
func (d *Document) addSyntaxError(err error) {
	line, column := 0, 0
	var firstWord string
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d: %s", &line, &column, &firstWord); n >= 2 {
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

// Err returns all faults as Errors, ordered by position, or nil if there are none.
func (d *Document) Err() error {
	slices.SortStableFunc(d.faults, func(a, b *Error) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return d.faults.Err()
}

// Root returns the top-level value of the document as an object. After a syntax
// error, it is an object without keys, for which Require records no faults.
func (d *Document) Root() *Object {
	if len(d.faults) > 0 {
		return &Object{doc: d}
	}
	return d.object(nil, "", notElement, &d.root)
}

// addFault records a fault at the byte offset in the text.
func (d *Document) addFault(kind Kind, key string, offset int, found, allowed string) {
	at := d.position(offset)
	d.faults = append(d.faults, &Error{Op: "check", Kind: kind, File: at.File, Line: at.Line, Column: at.Column,
		Key: key, Found: found, Allowed: allowed})
}

// Position is the position of a value in a file.
type Position struct {
	File string
	// Line and Column start at one. Column counts bytes.
	Line, Column int
}

// String returns the position as file:line:column, which editors can open.
func (p Position) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// position returns the position of the byte offset in the text.
func (d *Document) position(offset int) Position {
	offset = min(max(offset, 0), len(d.text))
	// The starts of the lines are computed once, because a register of the target
	// size has 100,000 objects and each asks for its position.
	if d.lines == nil {
		d.lines = lineStarts(d.text)
	}
	line, exact := slices.BinarySearch(d.lines, offset)
	if !exact {
		line--
	}
	return Position{File: d.file, Line: line + 1, Column: offset - d.lines[line] + 1}
}

// lineStarts returns the byte offsets at which lines start.
func lineStarts(text []byte) []int {
	starts := []int{0}
	for i, c := range text {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// Object gives access to the members of a JSON object. Reading or requiring a key
// marks it as requested; Close reports all other keys as unknown.
type Object struct {
	doc *Document
	// parent, name and index determine the path of the object. The path is formatted
	// only for faults, because a register of the target size has 300,000 objects.
	parent *Object
	name   string
	index  int
	offset int
	// parsed is false if the document has a syntax error.
	parsed bool
	// members is a slice because an object has few members, for which a search is
	// faster than a map.
	members []member
	// requested holds the requested keys that the object does not have.
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

// object returns the object of v. For a value of another type, it records a fault
// and returns an object without keys. The path of the object consists of the path
// of parent, the key name and, unless it is notElement, the index.
func (d *Document) object(parent *Object, name string, index int, v *hujson.Value) *Object {
	o := &Object{doc: d, parent: parent, name: name, index: index, offset: v.StartOffset, parsed: true}
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

// unquote returns the string of a literal that was parsed as a string. A literal
// without escapes needs no decoding.
func unquote(lit hujson.Literal) string {
	if bytes.IndexByte(lit, '\\') < 0 && utf8.Valid(lit) {
		return string(lit[1 : len(lit)-1])
	}
	return lit.String()
}

// find returns the member with the name, or nil, without marking it as requested.
func (o *Object) find(name string) *member {
	for i := range o.members {
		if o.members[i].name == name {
			return &o.members[i]
		}
	}
	return nil
}

// path returns the path of the object in the document, such as services[2], or
// the empty string for the root.
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

// key returns the path of the member name, such as services[2].slots.
func (o *Object) key(name string) string {
	p := o.path()
	if p == "" {
		return name
	}
	return p + "." + name
}

// member returns the value of a key and marks the key as requested. It returns nil
// if the object does not have the key.
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

// Position returns the position of the object in the file.
func (o *Object) Position() Position { return o.doc.position(o.offset) }

// Has reports whether the object has the key.
func (o *Object) Has(name string) bool { return o.find(name) != nil }

// Close records a fault for each key of the object that was not requested.
func (o *Object) Close() {
	for _, m := range o.members {
		if !m.requested {
			o.doc.addFault(KindUnknown, o.key(m.name), m.offset, strconv.Quote(m.name), strings.Join(o.requestedKeys(), ", "))
		}
	}
}

// requestedKeys returns all requested keys, present or not, in order.
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

// Reject records a fault of kind KindValue, for checks beyond the type of a value.
// The fault is at the value of the key name, or at the object if name is empty or
// the object does not have the key.
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

// Require records a fault if the key is missing, unless the document has a syntax
// error.
func (o *Object) Require(name string) {
	if o.parsed && o.find(name) == nil {
		o.member(name)
		o.doc.addFault(KindMissing, o.key(name), o.offset, "no key "+strconv.Quote(name), strconv.Quote(name))
	}
}

// Objects returns the elements of an array of objects. It returns nil if the key
// is missing or if its value is not an array, which is a fault.
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

// elements returns the elements of an array, or nil as Objects does.
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

// decode decodes a member of type T. It returns false if the key is missing or if
// its value is of another type, which is a fault.
func decode[T any](o *Object, name, allowed string) (T, bool) {
	v := o.member(name)
	if v == nil {
		var out T
		return out, false
	}
	return decodeValue[T](o, name, notElement, v, allowed)
}

// decodeValue decodes v, which is the member name or, unless index is notElement,
// that element of it. It returns false after a fault. A number out of the range of
// T is a fault of kind KindValue, any other one of kind KindType.
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

// describe returns the type of a composite value, or the text of a scalar one, of
// which it keeps the first 60 bytes.
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
