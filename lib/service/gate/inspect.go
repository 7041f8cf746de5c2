package gate

import (
	"context"
	"time"

	"cassiarack.example/lib/ring"
)

// Occupancy describes the use of the slots of an instance at its gate.
type Occupancy struct {
	Instance string
	Service  string
	Slots    int
	Running  int
	Waiting  int
	Leaving  bool
	// Cold is set while the number of slots ramps up after a start of the backend
	// server.
	Cold bool
}

// inspect is the command that returns the occupancy of all instances.
type inspect struct {
	call ring.Call[struct{}, []Occupancy]
}

func (c inspect) apply(now time.Time, s *Service) {
	var out []Occupancy
	for _, i := range s.instances() {
		d := s.state(i.Name)
		out = append(out, Occupancy{
			Instance: i.Name,
			Service:  i.Service.Name,
			Slots:    d.slots.Slots,
			Running:  d.slots.Running(),
			Waiting:  d.slots.Waiting(),
			Leaving:  d.slots.Leaving,
			Cold:     d.load(now).GetCold(),
		})
	}
	c.call.Reply(out)
}

// Occupancy returns the occupancy of each instance of the VM.
func (s *Service) Occupancy(ctx context.Context) ([]Occupancy, error) {
	cmd := inspect{call: ring.NewCall[struct{}, []Occupancy](struct{}{})}
	if err := s.commands.Offer(cmd); err != nil {
		return nil, err
	}
	return cmd.call.Wait(ctx)
}
