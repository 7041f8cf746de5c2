package strict

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

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
		d.addSyntax(err)
		return d
	}
	d.root = root
	return d
}

func (d *Document) addSyntax(err error) {
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
	return d.object("", &d.root)
}

func (d *Document) fault(kind Kind, key string, offset int, found, allowed string) {
	at := d.place(offset)
	d.faults = append(d.faults, &Error{Op: "check", Kind: kind, File: at.File, Line: at.Line, Column: at.Column,
		Key: key, Found: found, Allowed: allowed})
}

// Place is where a value stands.
type Place struct {
	File string
	// Line and Column start at one.
	Line, Column int
}

// String returns the place in the form that editors understand.
func (p Place) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

func (d *Document) place(offset int) Place {
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
	return Place{File: d.file, Line: line + 1, Column: offset - d.lines[line] + 1}
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
	doc     *Document
	path    string
	offset  int
	members map[string]*hujson.Value
	offsets map[string]int
	asked   map[string]bool
	order   []string
}

func (d *Document) object(path string, v *hujson.Value) *Object {
	o := &Object{doc: d, path: path, offset: v.StartOffset,
		members: make(map[string]*hujson.Value), offsets: make(map[string]int), asked: make(map[string]bool)}
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(KindType, path, v.StartOffset, describe(v), "an object")
		return o
	}
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		if _, dup := o.members[name]; dup {
			d.fault(KindDuplicate, o.key(name), m.Name.StartOffset, "a second "+strconv.Quote(name), "each key once")
			continue
		}
		o.members[name] = &m.Value
		o.offsets[name] = m.Name.StartOffset
		o.order = append(o.order, name)
	}
	return o
}

func (o *Object) key(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

func (o *Object) member(name string) *hujson.Value {
	if o.asked == nil {
		o.asked = make(map[string]bool)
	}
	o.asked[name] = true
	return o.members[name]
}

// Place returns where the object stands.
func (o *Object) Place() Place { return o.doc.place(o.offset) }

// Has reports whether the object has the key.
func (o *Object) Has(name string) bool { return o.members[name] != nil }

// Close records a fault for each key that was not asked for.
func (o *Object) Close() {
	var known []string
	for name := range o.asked {
		known = append(known, name)
	}
	slices.Sort(known)
	for _, name := range o.order {
		if !o.asked[name] {
			o.doc.fault(KindUnknown, o.key(name), o.offsets[name], strconv.Quote(name), strings.Join(known, ", "))
		}
	}
}

// Reject records a value that a check beyond its type does not allow.
func (o *Object) Reject(name, found, allowed string) {
	offset := o.offset
	if v := o.members[name]; v != nil {
		offset = v.StartOffset
	}
	key := o.key(name)
	if name == "" {
		key = o.path
	}
	o.doc.fault(KindValue, key, offset, found, allowed)
}

// Require records a fault if the key is missing.
func (o *Object) Require(name string) {
	if o.members != nil && o.members[name] == nil {
		o.asked[name] = true
		o.doc.fault(KindMissing, o.key(name), o.offset, "no key "+strconv.Quote(name), strconv.Quote(name))
	}
}

// Objects returns the members of an array of objects.
func (o *Object) Objects(name string) []*Object {
	var out []*Object
	for i, v := range o.elements(name) {
		out = append(out, o.doc.object(fmt.Sprintf("%s[%d]", o.key(name), i), v))
	}
	return out
}

// Object returns the member as an object, or nil if it is missing.
func (o *Object) Object(name string) *Object {
	v := o.member(name)
	if v == nil {
		return nil
	}
	return o.doc.object(o.key(name), v)
}

func (o *Object) elements(name string) []*hujson.Value {
	v := o.member(name)
	if v == nil {
		return nil
	}
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		o.doc.fault(KindType, o.key(name), v.StartOffset, describe(v), "an array")
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
	var out T
	v := o.member(name)
	if v == nil {
		return out, false
	}
	return decodeValue[T](o.doc, o.key(name), v, allowed)
}

func decodeValue[T any](d *Document, key string, v *hujson.Value, allowed string) (T, bool) {
	var out T
	lit, ok := v.Value.(hujson.Literal)
	if !ok {
		d.fault(KindType, key, v.StartOffset, describe(v), allowed)
		return out, false
	}
	if err := json.Unmarshal(lit, &out); err != nil || string(lit) == "null" {
		var tooLarge *json.UnmarshalTypeError
		kind := KindType
		if errors.As(err, &tooLarge) && strings.HasPrefix(tooLarge.Value, "number ") {
			kind = KindValue
		}
		d.fault(kind, key, v.StartOffset, describe(v), allowed)
		return out, false
	}
	return out, true
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
