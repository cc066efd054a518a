// Package kernel registers, finds and stops the services of a process.
//
// The constructor of a service starts one goroutine for each of its tasks.
// Services look each other up by name and type, so a package need not import
// another one only to pass a service on. The registry stops the services in
// reverse order of their registration.
//
// # Usage
//
//	registry := kernel.New()
//	err := registry.Register(replica)
//	replica, err := kernel.Find[*Replica](registry, "replica")
//	err = registry.Stop(ctx)
package kernel

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrDuplicate reports that a service of the same name is already registered.
var ErrDuplicate = errors.New("service name is already registered")

// ErrNotFound reports that no service of the requested name and type is registered.
var ErrNotFound = errors.New("no such service")

// Service is a component that a Registry stops. Stop returns when all goroutines
// of the service have returned, or when the context is done.
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

// New returns an empty registry.
func New() *Registry {
	return &Registry{services: make(map[string]Service)}
}

// Register adds a service under the name that its String method returns. The error
// wraps ErrDuplicate if the name is already registered.
func (r *Registry) Register(service Service) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := service.String()
	if _, taken := r.services[name]; taken {
		return eris.Wrapf(ErrDuplicate, "registering service %s", name)
	}
	r.services[name] = service
	r.order = append(r.order, name)
	return nil
}

// Find returns the service of the given name and type. The error wraps ErrNotFound
// if there is none.
func Find[T Service](r *Registry, name string) (T, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	service, ok := r.services[name].(T)
	if !ok {
		var zero T
		return zero, fmt.Errorf("finding service %s: %w", name, ErrNotFound)
	}
	return service, nil
}

// Stop stops all services in reverse order of their registration and joins their
// errors.
func (r *Registry) Stop(ctx context.Context) error {
	r.mu.Lock()
	order := r.order
	r.order = nil
	r.mu.Unlock()
	var errs []error
	for i := len(order) - 1; i >= 0; i-- {
		if err := r.services[order[i]].Stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("stopping service %s: %w", order[i], err))
		}
	}
	return errors.Join(errs...)
}

// TaskGroup runs the goroutines of one service and stops them together.
type TaskGroup struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewTaskGroup returns an empty group.
func NewTaskGroup() *TaskGroup {
	ctx, cancel := context.WithCancel(context.Background())
	return &TaskGroup{ctx: ctx, cancel: cancel}
}

// Go runs a task in its own goroutine. The task must return when its context is done.
func (g *TaskGroup) Go(task func(ctx context.Context)) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		task(g.ctx)
	}()
}

// Context returns the context of the tasks, which Stop cancels.
func (g *TaskGroup) Context() context.Context { return g.ctx }

// Stop cancels the context of the tasks and waits until all have returned. If ctx is
// done first, Stop returns its error.
func (g *TaskGroup) Stop(ctx context.Context) error {
	g.cancel()
	done := make(chan struct{})
	go func() {
		g.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
