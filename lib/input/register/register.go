// Package register decodes the register: the inventory of VMs and backend
// servers that operators take from their asset register.
package register

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"cassiarack.example/lib/input/strict"
)

// Limits of the values in a register: requests that an instance runs at once,
// connections to an instance, and the weight of an organisation.
const (
	MaxSlots       = 10_000
	MaxConnections = 100_000
	MaxWeight      = 1000
)

// Register is the inventory, or the part of it that one document holds.
type Register struct {
	VMs           []VM
	Services      []Service
	Organisations []Organisation
}

// VM is a machine that runs one node and any number of backend servers.
type VM struct {
	// At is the position of the entry in its document.
	At         strict.Position
	Name       string
	Region     string
	DataCentre string
	// Node is the address at which the node serves other nodes: drpc on TCP
	// and membership datagrams on UDP.
	Node      netip.AddrPort
	Instances []Instance
}

// Instance is one backend server.
type Instance struct {
	// At is the position of the entry in its document.
	At      strict.Position
	Name    string
	Service string
	// Address is the address at which the backend server accepts connections.
	Address netip.AddrPort
}

// Service is a set of instances that serve the same requests.
type Service struct {
	// At is the position of the entry in its document.
	At   strict.Position
	Name string
	// Slots is the number of requests that an instance runs at once.
	Slots int
	// Connections is the maximum number of connections to an instance.
	Connections int
	// Routes are path prefixes in addition to the default prefix /<name>/.
	Routes []string
}

// Organisation is a customer.
type Organisation struct {
	// At is the position of the entry in its document.
	At   strict.Position
	Name string
	// Weight is its share of the slots relative to the other organisations. The
	// default is 1.
	Weight int
}

// maxNameLength is the maximum length of a name in bytes.
const maxNameLength = 127

const nameAllowed = "1 to 127 letters, digits, dots, dashes or underscores, starting with a letter or digit"

// Decode decodes one document of the register. The name of the file appears in
// errors only. The error is a strict.Errors that holds all faults of the document;
// the returned register is then incomplete.
func Decode(file string, text []byte) (*Register, error) {
	d := strict.Parse(file, text)
	root := d.Root()
	r := &Register{}
	for _, o := range root.Objects("vms") {
		r.VMs = append(r.VMs, decodeVM(o))
	}
	for _, o := range root.Objects("services") {
		r.Services = append(r.Services, decodeService(o))
	}
	for _, o := range root.Objects("organisations") {
		r.Organisations = append(r.Organisations, decodeOrganisation(o))
	}
	root.Close()
	return r, d.Err()
}

func decodeVM(o *strict.Object) VM {
	v := VM{
		At:         o.Position(),
		Name:       requiredName(o, "name"),
		Region:     requiredName(o, "region"),
		DataCentre: requiredName(o, "dataCentre"),
		Node:       o.AddrPort("node"),
	}
	o.Require("node")
	for _, c := range o.Objects("instances") {
		i := Instance{At: c.Position(), Name: requiredName(c, "name"), Service: requiredName(c, "service"), Address: c.AddrPort("address")}
		c.Require("address")
		c.Close()
		v.Instances = append(v.Instances, i)
	}
	o.Close()
	return v
}

func decodeService(o *strict.Object) Service {
	s := Service{
		At:          o.Position(),
		Name:        requiredName(o, "name"),
		Slots:       o.Int("slots", 1, 1, MaxSlots),
		Connections: o.Int("connections", 400, 1, MaxConnections),
		Routes:      o.Strings("routes"),
	}
	o.Require("slots")
	for i, r := range s.Routes {
		if !strings.HasPrefix(r, "/") || strings.ContainsAny(r, "?# ") {
			o.Reject("routes", fmt.Sprintf("%s as route %d", strconv.Quote(r), i+1), "a path that starts with /")
		}
	}
	o.Close()
	return s
}

func decodeOrganisation(o *strict.Object) Organisation {
	c := Organisation{At: o.Position(), Name: requiredName(o, "name"), Weight: o.Int("weight", 1, 1, MaxWeight)}
	o.Close()
	return c
}

// requiredName returns the name that the key holds, and records a fault if it is
// missing or not a valid name.
func requiredName(o *strict.Object, key string) string {
	o.Require(key)
	s := o.String(key)
	if o.Has(key) && !validName(s) {
		o.Reject(key, strconv.Quote(s), nameAllowed)
	}
	return s
}

// validName reports whether s is a name as nameAllowed describes it. It uses no
// regular expression, because that took a sixth of the time to decode a register.
func validName(s string) bool {
	if len(s) == 0 || len(s) > maxNameLength {
		return false
	}
	for i, c := range []byte(s) {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !letter && (i == 0 || c != '.' && c != '_' && c != '-') {
			return false
		}
	}
	return true
}
