package vers_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/vers"
)

// fleetRecords is the number of records of a leader at 1,100 streams a second that are kept for 40 s.
const fleetRecords = 44_000

func fleetTable() *vers.Table {
	t := &vers.Table{Life: time.Hour}
	now := time.Now()
	for range fleetRecords {
		t.Learn(now, vers.Record{Stream: rand.Uint64(), Software: "v1", Service: "contract-draft"})
	}
	return t
}

// BenchmarkTable reports the memory of the records of one leader.
func BenchmarkTable(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		fleetTable()
	}
}

// BenchmarkUnsaved reports the time for one search for new records, of which there are 250 ms' worth.
func BenchmarkUnsaved(b *testing.B) {
	t := fleetTable()
	t.SetSaved(t.Unsaved()[275:], true)
	for b.Loop() {
		t.Unsaved()
	}
}
