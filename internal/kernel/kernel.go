// Package kernel is the micro-kernel of the daemons: it owns the lifecycle of
// named services and lets them find each other by name. Services are
// provisioned (they look each other up), started in the order of their
// registration and stopped in reverse.
package kernel

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrServiceNotFound is returned when no service of the wanted name and type exists.
var ErrServiceNotFound = errors.New("service not found")

// ErrDuplicateService is returned when a name is registered twice.
var ErrDuplicateService = errors.New("service registered twice")

// Service is one part of a daemon. Start must not block; Stop returns when
// the service has ended or ctx is done. The kernel calls each at most once.
type Service interface {
	// Name is the name that other services look up.
	Name() string
	// Start begins the work. Services registered earlier have been started.
	Start(ctx context.Context) error
	// Stop ends the work. Services registered later have been stopped.
	Stop(ctx context.Context) error
}

// Provisioner is a service that needs others. The kernel provisions all
// services before it starts the first.
type Provisioner interface {
	// Provision looks up the services that this one needs.
	Provision(k *Kernel) error
}

// Kernel holds the services of one process. Its methods may be called from
// any goroutine.
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

// Register adds a service. Start order is registration order.
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

// Lookup finds a service by name and type.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	found, ok := k.byName[name].(T)
	if !ok {
		return found, errors.Wrapf(ErrServiceNotFound, "%s", name)
	}
	return found, nil
}

// Start provisions all services and starts them in order. When one fails,
// those already started are stopped again.
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

// Stop stops the started services in reverse order and returns the first
// error, after trying all.
func (k *Kernel) Stop(ctx context.Context) error {
	all := k.services()
	k.mu.Lock()
	n := k.started
	k.started = 0
	k.mu.Unlock()
	var first error
	for i := n - 1; i >= 0; i-- {
		err := all[i].Stop(ctx)
		first = errors.CombineErrors(first, errors.Wrapf(err, "stop %s", all[i].Name()))
	}
	return first
}

func (k *Kernel) services() []Service {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Service(nil), k.order...)
}

func (k *Kernel) setStarted(n int) {
	k.mu.Lock()
	k.started = n
	k.mu.Unlock()
}
