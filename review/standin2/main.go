// Command standin2 plays the cases 4 to 8 of the second review: it starts marbleroad-node as the deploy file does, with
// stand-ins of the platform's store, of upstreams and of callers around it, and judges what these see. It is not part of
// the product.
package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to its function, which reports whether the rule was broken.
var cases = map[string]func(r *rig) (broken bool, err error){
	"smuggled": smuggled,
	"crowded":  crowded,
	"cut":      cut,
	"returned": returned,
	"unsealed": unsealed,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "upstream" {
		os.Exit(upstreamMain(os.Args[2:]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: standin2 %s RECORD\n", strings.Join(names, "|"))
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(f func(r *rig) (bool, error), record string) int {
	r, err := newRig(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return exitNotRun
	}
	defer r.close()
	r.guard()
	r.note("trouble: %t", r.trouble)
	broken, err := f(r)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.note("result: the rule was broken")
		return exitBroken
	}
	r.note("result: the rule held")
	return exitHeld
}
