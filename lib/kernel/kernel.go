package kernel

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/charmbracelet/log"
)

// Service is one part of a process.
type Service interface {
	// Bind finds the services that this one needs. It starts nothing.
	Bind(dir *Directory) error
	// Run performs the duty of the service. It returns nil after ctx is done,
	// and an error when the service cannot go on.
	Run(ctx context.Context) error
}

// Drainer is implemented by services that have work to finish before a stop.
type Drainer interface {
	// Drain refuses new work and returns when none is left, or with an error
	// that says what was left when ctx is done.
	Drain(ctx context.Context) error
}

// Leaver is implemented by services that tell others of a stop before the
// process refuses anything.
type Leaver interface {
	// Leave announces the stop, and returns when it took effect elsewhere or
	// when ctx is done.
	Leave(ctx context.Context) error
}

// Registration names a service and the services that it needs.
type Registration struct {
	Name    string
	Needs   []string
	Service Service
}

// Kernel runs services.
type Kernel struct {
	// Registrations are the services in any order.
	Registrations []Registration
	// Log receives starts, stops and failures.
	Log *log.Logger
	// DrainTimeout bounds the drain of all services together.
	DrainTimeout time.Duration
}

// Run binds and starts all services, and blocks until ctx is done or a service
// fails. A stop has three phases: all services leave, each after those that it
// needs; then they drain and then they stop, dependents first. DrainTimeout
// bounds leaving and draining together. Run returns nil after a clean stop.
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

// exit is the end of one service.
type exit struct {
	name string
	err  error
}

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
	done   chan struct{}
	err    error
}

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

// drain lets all services leave, before any of them refuses callers. It then
// drains them one after the other, dependents first, so that a service never
// loses one that it still needs to finish its work.
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
			k.Log.Warn("Leaving incomplete.", "service", r.Name, "err", err)
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
