package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/marbleroad/marbleroad/test/standin/objectstore"
)

// TestNewestVersionIsWrittenLast guards against an older version of the configuration that replaces a newer one in the
// store when two are written at the same time, or one beside the rewriting after a restore.
func TestNewestVersionIsWrittenLast(t *testing.T) {
	const rounds = 30
	for range rounds {
		tb := &testbed{store: objectstore.New(), history: &history{}}
		tb.setVariant(variant{bulkRoutes: 2000})
		tb.putConfiguration("")
		var writing sync.WaitGroup
		writing.Go(tb.rewriteConfiguration)
		writing.Go(func() {
			tb.setVariant(variant{})
			tb.putConfiguration("")
		})
		writing.Go(func() { tb.putConfiguration("") })
		writing.Wait()
		if stored := storedVersion(t, tb); stored != tb.version {
			t.Fatalf("the store has version %d, the newest is %d", stored, tb.version)
		}
	}
}

// storedVersion returns the version of the configuration that the store has.
func storedVersion(t *testing.T, tb *testbed) int {
	t.Helper()
	w := httptest.NewRecorder()
	tb.serveStore(w, httptest.NewRequest(http.MethodGet, objectstore.Path+configurationCollection+"/main", nil))
	var o struct {
		Spec struct {
			Version int `json:"version"`
		} `json:"spec"`
	}
	if err := json.NewDecoder(strings.NewReader(w.Body.String())).Decode(&o); err != nil {
		t.Fatalf("%v in %.200s", err, w.Body)
	}
	return o.Spec.Version
}
