package inspect

import (
	"net/http"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/quarantine"
)

// ReleasePath is where a node's admin listener lets a request out of quarantine, named by the query's
// FingerprintParameter.
const (
	ReleasePath          = "/quarantine/release"
	FingerprintParameter = "fingerprint"
)

// Release lets requests out of quarantine, at all nodes as they hear of it.
func Release(suspects *quarantine.Table) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, err := quarantine.ParseFingerprint(r.URL.Query().Get(FingerprintParameter))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		now := clock.Now()
		if v := suspects.Verdict(now, f); v.Terminations == 0 {
			http.Error(w, "nothing is held against this request here", http.StatusNotFound)
			return
		}
		suspects.RecordSuccess(now, f)
		w.WriteHeader(http.StatusNoContent)
	})
}
