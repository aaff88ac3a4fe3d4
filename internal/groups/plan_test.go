package groups

import (
	"reflect"
	"testing"
)

// FuzzDecodePlan decodes arbitrary bytes as a stored plan: a plan that is
// accepted keeps the invariants and is the same after it is encoded again.
func FuzzDecodePlan(f *testing.F) {
	p := NewPlan("fd", "f1")
	p.Version = 3
	p.Groups = []Group{{ID: "g-0", Row: "g", Service: "s", Generation: 3, Size: 2, Phase: Active}}
	p.Assign["vm-0"] = Assignment{Group: "g-0", Rank: 1}
	value, err := p.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add([]byte(`{"assign":{"a":{"group":"g","rank":0},"b":{"group":"g","rank":0}},"groups":[{"id":"g","size":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := Decode(data)
		if err != nil {
			return
		}
		if err := p.Check(); err != nil {
			t.Fatal(err)
		}
		value, err := p.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(value)
		if err != nil || !reflect.DeepEqual(p.Assign, again.Assign) {
			t.Fatalf("%s became %s: %v", data, value, err)
		}
	})
}
