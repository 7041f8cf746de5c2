package kernel

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/charmbracelet/log"
)

// Service is a part of a process that the kernel starts and stops.
type Service interface {
	// Bind finds the services that this one needs. It must not start work.
	Bind(dir *Directory) error
	// Run does the work of the service. It returns nil after ctx is done, and an
	// error when the service cannot continue.
	Run(ctx context.Context) error
}

// Drainer is implemented by services that must finish work before they stop.
type Drainer interface {
	// Drain refuses new work and returns when none is left. If ctx is done first,
	// it returns an error that states what was left.
	Drain(ctx context.Context) error
}

// Leaver is implemented by services that announce a stop before any service
// drains.
type Leaver interface {
	// Leave announces the stop. It returns when the announcement has taken effect
	// elsewhere or when ctx is done.
	Leave(ctx context.Context) error
}

// Registration registers a service under a name. Needs holds the names of the
// services that it depends on.
type Registration struct {
	Name    string
	Needs   []string
	Service Service
}

// Kernel runs the services of a process.
type Kernel struct {
	// Registrations holds the services, in any order.
	Registrations []Registration
	// Log receives the starts and stops of services and the errors of a stop.
	Log *log.Logger
	// DrainTimeout limits the Leave and Drain calls of all services together.
	DrainTimeout time.Duration
}

// Run binds and starts all services, and blocks until ctx is done or a service
// returns. When ctx is done, the stop has three phases. First all services leave,
// each after those that it needs. Then they drain, and then they stop, in both
// phases dependents first. DrainTimeout limits the first two phases together.
// After a failure, Run only stops the services. Run returns nil after a clean stop.
func (k *Kernel) Run(ctx context.Context) error {
	order, err := startOrder(k.Registrations)
	if err != nil {
		return err
	}
	if err := bind(order); err != nil {
		return err
	}
	exits := make(chan exit, len(order))
	running := make([]*task, 0, len(order))
	for _, r := range order {
		running = append(running, start(r, exits))
		k.Log.Debug("Started service.", "service", r.Name)
	}
	var failure error
	select {
	case <-ctx.Done():
		failure = k.drain(order)
	case e := <-exits:
		failure = e.failure()
	}
	return errors.Join(failure, k.stop(running))
}

// exit is the result of a service whose Run method returned.
type exit struct {
	name string
	err  error
}

// failure returns the error for a service that returned before it was stopped.
func (e exit) failure() error {
	if e.err == nil {
		return &Error{Op: "run", Kind: KindStopped, Names: []string{e.name}}
	}
	return &Error{Op: "run", Kind: KindFailed, Names: []string{e.name}, Err: e.err}
}

// task is a running service.
type task struct {
	name   string
	cancel context.CancelFunc
	// done is closed when Run has returned; err is its result.
	done chan struct{}
	err  error
}

// start runs a service on a new goroutine and sends its result to exits.
func start(r Registration, exits chan<- exit) *task {
	ctx, cancel := context.WithCancel(context.Background())
	t := &task{name: r.Name, cancel: cancel, done: make(chan struct{})}
	go func() {
		t.err = r.Service.Run(ctx)
		close(t.done)
		exits <- exit{name: r.Name, err: t.err}
	}()
	return t
}

// bind lets each service find its dependencies.
func bind(order []Registration) error {
	services := make(map[string]Service, len(order))
	for _, r := range order {
		services[r.Name] = r.Service
	}
	for _, r := range order {
		dir := &Directory{services: services, allowed: make(map[string]bool), owner: r.Name}
		for _, n := range r.Needs {
			dir.allowed[n] = true
		}
		if err := r.Service.Bind(dir); err != nil {
			return &Error{Op: "bind", Kind: KindBind, Names: []string{r.Name}, Err: err}
		}
	}
	return nil
}

// drain lets all services leave before it drains any of them. It then drains them
// one after another, dependents first, so that every service can finish its work
// with the services that it needs.
func (k *Kernel) drain(order []Registration) error {
	ctx, cancel := context.WithTimeout(context.Background(), k.DrainTimeout)
	defer cancel()
	var errs []error
	for _, r := range order {
		l, ok := r.Service.(Leaver)
		if !ok {
			continue
		}
		if err := l.Leave(ctx); err != nil {
			k.Log.Warn("Leave incomplete.", "service", r.Name, "err", err)
			errs = append(errs, &Error{Op: "leave", Kind: KindDrain, Names: []string{r.Name}, Err: err})
		}
	}
	for _, r := range slices.Backward(order) {
		d, ok := r.Service.(Drainer)
		if !ok {
			continue
		}
		if err := d.Drain(ctx); err != nil {
			k.Log.Warn("Drain incomplete.", "service", r.Name, "err", err)
			errs = append(errs, &Error{Op: "drain", Kind: KindDrain, Names: []string{r.Name}, Err: err})
		}
	}
	return errors.Join(errs...)
}

// stop stops the services one after another, dependents first.
func (k *Kernel) stop(running []*task) error {
	var errs []error
	for _, t := range slices.Backward(running) {
		t.cancel()
		<-t.done
		if t.err != nil && !errors.Is(t.err, context.Canceled) {
			errs = append(errs, &Error{Op: "stop", Kind: KindFailed, Names: []string{t.name}, Err: t.err})
		}
		k.Log.Debug("Stopped service.", "service", t.name)
	}
	return errors.Join(errs...)
}
