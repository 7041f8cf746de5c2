package roster

import (
	"errors"
	"fmt"
	"time"
)

const (
	// maxName bounds the length of an identifier, service or data centre in bytes.
	// Keys of the platform have at most 200 bytes.
	maxName = 200
	// maxSlots bounds the slots of an instance. The number is sent to other nodes
	// with 32 bits, and a larger one would make its instance attract all requests.
	maxSlots = 10_000
)

// maxStart is the latest start time that is taken for one. Later times have no
// representation in logs, and would make an entry supersede all others at its
// address for good.
var maxStart = time.Date(2200, time.January, 1, 0, 0, 0, 0, time.UTC)

// Check returns an error if i cannot be an instance to send requests to. The list
// of instances comes from a store that others write to as well, and from other
// nodes. One odd entry must not keep a node from following the others.
func (i Instance) Check() error {
	if err := checkName("identifier", i.ID); err != nil {
		return err
	}
	if err := checkName("service", i.Service); err != nil {
		return err
	}
	if len(i.DataCentre) > maxName {
		return fmt.Errorf("data centre of %d bytes; allowed: %d", len(i.DataCentre), maxName)
	}
	a := i.Address.Addr()
	switch {
	case !a.Is4() || a.IsUnspecified() || a.IsMulticast():
		return fmt.Errorf("address %v; allowed: IPv4 unicast", i.Address)
	case i.Address.Port() == 0:
		return errors.New("port 0")
	case i.Slots < 1 || i.Slots > maxSlots:
		return fmt.Errorf("%d slots; allowed: 1 to %d", i.Slots, maxSlots)
	case !i.StartedAt.IsZero() && (i.StartedAt.Before(time.Unix(0, 0)) || i.StartedAt.After(maxStart)):
		return errors.New("start time out of range")
	}
	return nil
}

// checkName refuses names that cannot stand in a header field or a log line.
func checkName(what, name string) error {
	if name == "" || len(name) > maxName {
		return fmt.Errorf("%s of %d bytes; allowed: 1 to %d", what, len(name), maxName)
	}
	for _, c := range []byte(name) {
		if c <= ' ' || c > '~' {
			return fmt.Errorf("%s %q has characters other than visible ASCII", what, name)
		}
	}
	return nil
}
