package gateway

import (
	"testing"

	"github.com/marbleroad/marbleroad/internal/crash"
)

// TestPanicUnderTheLockReleasesIt guards against a contained panic of the director, in recording what a VM reports, after which
// all requests of the node wait for the lock.
func TestPanicUnderTheLockReleasesIt(t *testing.T) {
	table := &targetTable{}
	if p := crash.Contain(func() { table.mark(func() bool { panic("fault of the test") }) }); p == nil {
		t.Fatal("no panic")
	}
	if !table.mu.TryLock() {
		t.Error("the lock is held")
	}
}
