package quarantine

import (
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// fullTable returns a table with n requests in quarantine.
func fullTable(n int) *Table {
	t := NewTable()
	for i := range n {
		for incarnation := range Incarnation(3) {
			t.RecordTermination(start, Fingerprint(i+1)*0x9e3779b97f4a7c15, incarnation*0x9e3779b9, true)
		}
	}
	return t
}

// BenchmarkRecord reports the size of a request in quarantine: bytes in memory, in messages and in the
// store.
func BenchmarkRecord(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := fullTable(maxConfirmed)
	runtime.GC()
	runtime.ReadMemStats(&after)
	records := table.Confirmed(start)
	message := 0
	for _, r := range records {
		message += proto.Size(toWire(start.Add(time.Minute), r))
	}
	stored, err := encode(records, start, start)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		table.Verdict(start, 7)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxConfirmed, "held-B/record")
	b.ReportMetric(float64(message)/maxConfirmed, "told-B/record")
	b.ReportMetric(float64(len(stored))/maxConfirmed, "stored-B/record")
	runtime.KeepAlive(table)
}

// BenchmarkEnded measures the cost of recording a termination in a full table.
func BenchmarkEnded(b *testing.B) {
	table := fullTable(maxConfirmed)
	i := 0
	for b.Loop() {
		i++
		table.RecordTermination(start, Fingerprint(i), 1, true)
	}
}

// BenchmarkFingerprint measures the cost of the fingerprint of a request with a body of 600 bytes.
func BenchmarkFingerprint(b *testing.B) {
	a := Request{Team: "team", Method: "POST", Host: "host.example", Target: "/route/391ef8", Body: make([]byte, 600)}
	for b.Loop() {
		a.Fingerprint()
	}
}
