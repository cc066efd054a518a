// Package kernel starts, names and stops the services of a process.
//
// A service is built by its constructor, which starts a goroutine for each duty.
// Services find each other by name and type, so that no service imports another
// one only to be handed it. The kernel stops them in the reverse order of their
// registration.
//
// # Usage
//
//	k := kernel.New()
//	err := k.Register("replica", replica)
//	replica, err := kernel.Find[*Replica](k, "replica")
//	err = k.Stop(ctx)
package kernel

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrDuplicate reports a name that is taken.
var ErrDuplicate = errors.New("service name is taken")

// ErrNotFound reports a name under which nothing of the wanted type is registered.
var ErrNotFound = errors.New("no such service")

// Service is anything that the kernel stops. Stop returns once nothing of the
// service runs any more, or when the context ends.
type Service interface {
	String() string
	Stop(ctx context.Context) error
}

// Registry holds the services of one process by name.
type Registry struct {
	mu       sync.Mutex
	services map[string]Service
	order    []string
}

// New returns a kernel without services.
func New() *Registry {
	return &Registry{services: make(map[string]Service)}
}

// Register adds a service under its own name. Errors wrap ErrDuplicate.
func (k *Registry) Register(service Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	name := service.String()
	if _, taken := k.services[name]; taken {
		return eris.Wrapf(ErrDuplicate, "registering %s", name)
	}
	k.services[name] = service
	k.order = append(k.order, name)
	return nil
}

// Find returns the service of a name. Errors wrap ErrAbsent.
func Find[T Service](k *Registry, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	service, ok := k.services[name].(T)
	if !ok {
		var zero T
		return zero, fmt.Errorf("looking for %s: %w", name, ErrNotFound)
	}
	return service, nil
}

// Stop stops all services, the last registered first, and joins their errors.
func (k *Registry) Stop(ctx context.Context) error {
	k.mu.Lock()
	order := k.order
	k.order = nil
	k.mu.Unlock()
	var problems []error
	for i := len(order) - 1; i >= 0; i-- {
		if err := k.services[order[i]].Stop(ctx); err != nil {
			problems = append(problems, fmt.Errorf("stopping %s: %w", order[i], err))
		}
	}
	return errors.Join(problems...)
}

// TaskGroup runs the goroutines of one service and ends them together.
type TaskGroup struct {
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// NewTaskGroup returns an empty set of duties.
func NewTaskGroup() *TaskGroup {
	ctx, cancel := context.WithCancel(context.Background())
	return &TaskGroup{ctx: ctx, cancel: cancel}
}

// Go starts a duty, which must return when its context ends.
func (d *TaskGroup) Go(duty func(ctx context.Context)) {
	d.wait.Add(1)
	go func() {
		defer d.wait.Done()
		duty(d.ctx)
	}()
}

// Context ends when the duties are stopped.
func (d *TaskGroup) Context() context.Context { return d.ctx }

// Stop ends the duties and waits for them, at most until the context ends.
func (d *TaskGroup) Stop(ctx context.Context) error {
	d.cancel()
	done := make(chan struct{})
	go func() {
		d.wait.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
