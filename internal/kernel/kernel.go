// Package kernel manages the services of a daemon: it controls their lifecycle
// and lets them look each other up by name. Services are first provisioned (they
// look each other up), then started in the order of their registration, and
// stopped in reverse order.
package kernel

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrServiceNotFound is returned when no service has the requested name and type.
var ErrServiceNotFound = errors.New("service not found")

// ErrDuplicateService is returned when a name is registered twice.
var ErrDuplicateService = errors.New("service registered twice")

// Service is one component of a daemon. Start must not block; Stop returns when
// the service has stopped or ctx is done. The kernel calls each of the two at most
// once.
type Service interface {
	// Name returns the name under which other services look this one up.
	Name() string
	// Start starts the service. Services registered earlier are already started.
	Start(ctx context.Context) error
	// Stop stops the service. Services registered later are already stopped.
	Stop(ctx context.Context) error
}

// Provisioner is a service that depends on others. The kernel provisions all
// services before it starts the first.
type Provisioner interface {
	// Provision looks up the services that this one depends on.
	Provision(k *Kernel) error
}

// Kernel holds the services of one process. It is safe for concurrent use.
type Kernel struct {
	mu      sync.Mutex
	order   []Service
	byName  map[string]Service
	started int
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{byName: make(map[string]Service)}
}

// Register adds a service. Services are started in the order of registration.
func (k *Kernel) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.byName[s.Name()]; ok {
		return errors.Wrapf(ErrDuplicateService, "%s", s.Name())
	}
	k.byName[s.Name()] = s
	k.order = append(k.order, s)
	return nil
}

// Lookup returns the service with the given name and type.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	service, ok := k.byName[name].(T)
	if !ok {
		return service, errors.Wrapf(ErrServiceNotFound, "%s", name)
	}
	return service, nil
}

// Start provisions all services and starts them in order. If one fails to start,
// it stops those already started.
func (k *Kernel) Start(ctx context.Context) error {
	for _, s := range k.services() {
		p, ok := s.(Provisioner)
		if !ok {
			continue
		}
		if err := p.Provision(k); err != nil {
			return errors.Wrapf(err, "provision %s", s.Name())
		}
	}
	for i, s := range k.services() {
		if err := s.Start(ctx); err != nil {
			k.setStarted(i)
			return errors.CombineErrors(errors.Wrapf(err, "start %s", s.Name()), k.Stop(ctx))
		}
		k.setStarted(i + 1)
	}
	return nil
}

// Stop stops the started services in reverse order. It stops all of them, even if
// one fails, and returns the first error with the others attached to it.
func (k *Kernel) Stop(ctx context.Context) error {
	services := k.services()
	k.mu.Lock()
	n := k.started
	k.started = 0
	k.mu.Unlock()
	var firstErr error
	for i := n - 1; i >= 0; i-- {
		err := services[i].Stop(ctx)
		firstErr = errors.CombineErrors(firstErr, errors.Wrapf(err, "stop %s", services[i].Name()))
	}
	return firstErr
}

// services returns a copy of the services in the order of registration.
func (k *Kernel) services() []Service {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Service(nil), k.order...)
}

// setStarted sets the number of services that Stop has to stop.
func (k *Kernel) setStarted(n int) {
	k.mu.Lock()
	k.started = n
	k.mu.Unlock()
}
