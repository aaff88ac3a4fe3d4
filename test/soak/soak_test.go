package main

import (
	"fmt"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// ciSlack is added to the time limits in CI, whose machine may be busy.
const ciSlack = 3 * time.Second

// TestOneSeed runs two short seeds of the soak against marbleroad-node: one with the features of [overload] off,
// one with all of them on.
func TestOneSeed(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "marbleroad-node")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/marbleroad-node").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeedOnce(t, binary, seed) })
	}
}

// runSeedOnce runs one short seed and reports its violations.
func runSeedOnce(t *testing.T, binary string, seed uint64) {
	t.Helper()
	c := config{binary: binary, seed: seed, nodes: 3, engines: 8, plain: 3, callers: 12, length: 6 * time.Second, slack: ciSlack}
	r, err := runOnce(c, drawSchedule(rand.New(rand.NewPCG(c.seed, 0)), c.length), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if r.complete == 0 {
		t.Error("no request was answered completely")
	}
	for _, v := range r.violations {
		t.Error(v)
	}
}
