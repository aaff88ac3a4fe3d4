package quarantine

import (
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

func fullTable(n int) *Table {
	t := NewTable()
	for i := range n {
		for life := range Life(3) {
			t.Ended(start, Fingerprint(i+1)*0x9e3779b97f4a7c15, life*0x9e3779b9, true)
		}
	}
	return t
}

// BenchmarkRecord names what a request in quarantine costs: bytes held, told and stored.
func BenchmarkRecord(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := fullTable(mostProved)
	runtime.GC()
	runtime.ReadMemStats(&after)
	records := table.Proved(start)
	message := 0
	for _, r := range records {
		message += proto.Size(toWire(start.Add(time.Minute), r))
	}
	stored, err := encode(records, start, start)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		table.Judge(start, 7)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/mostProved, "held-B/record")
	b.ReportMetric(float64(message)/mostProved, "told-B/record")
	b.ReportMetric(float64(len(stored))/mostProved, "stored-B/record")
	runtime.KeepAlive(table)
}

// BenchmarkEnded names what an end costs beside a table that is full.
func BenchmarkEnded(b *testing.B) {
	table := fullTable(mostProved)
	i := 0
	for b.Loop() {
		i++
		table.Ended(start, Fingerprint(i), 1, true)
	}
}

// BenchmarkFingerprint names what a request's fingerprint costs, with a body of 600 bytes.
func BenchmarkFingerprint(b *testing.B) {
	a := Asked{Team: "team", Method: "POST", Host: "host.example", Target: "/route/391ef8", Body: make([]byte, 600)}
	for b.Loop() {
		a.Fingerprint()
	}
}
