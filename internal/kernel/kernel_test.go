package kernel

import (
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// recorder is a service that logs the calls of its methods.
type recorder struct {
	name  string
	needs string
	fails bool
	log   *[]string
}

func (r *recorder) Name() string { return r.name }

func (r *recorder) Provision(k *Kernel) error {
	*r.log = append(*r.log, "provision "+r.name)
	if r.needs == "" {
		return nil
	}
	_, err := Lookup[*recorder](k, r.needs)
	return err
}

func (r *recorder) Start(context.Context) error {
	*r.log = append(*r.log, "start "+r.name)
	if r.fails {
		return errors.New("cannot start")
	}
	return nil
}

func (r *recorder) Stop(context.Context) error {
	*r.log = append(*r.log, "stop "+r.name)
	return nil
}

// run registers, starts and stops the services, and returns their log.
func run(t *testing.T, services ...*recorder) (string, error) {
	t.Helper()
	var log []string
	k := New()
	for _, s := range services {
		s.log = &log
		if err := k.Register(s); err != nil {
			return "", err
		}
	}
	err := k.Start(context.Background())
	if err == nil {
		err = k.Stop(context.Background())
	}
	return strings.Join(log, ", "), err
}

// TestLifecycle checks the order of provisioning, start and stop, also when a
// service fails to start, and the errors for missing and duplicate names.
func TestLifecycle(t *testing.T) {
	log, err := run(t, &recorder{name: "a", needs: "b"}, &recorder{name: "b"})
	if err != nil || log != "provision a, provision b, start a, start b, stop b, stop a" {
		t.Errorf("%s: %v", log, err)
	}
	log, err = run(t, &recorder{name: "a"}, &recorder{name: "b", fails: true}, &recorder{name: "c"})
	if err == nil || !strings.HasSuffix(log, "start a, start b, stop a") {
		t.Errorf("%s: %v", log, err)
	}
	if _, err = run(t, &recorder{name: "a", needs: "nobody"}); !errors.Is(err, ErrServiceNotFound) {
		t.Errorf("got %v", err)
	}
	if _, err = run(t, &recorder{name: "a"}, &recorder{name: "a"}); !errors.Is(err, ErrDuplicateService) {
		t.Errorf("got %v", err)
	}
}
