package inspect

import (
	"net/http"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/quarantine"
)

// ReleasePath is the path at which a node's admin listener releases a request from quarantine. The query's
// FingerprintParameter names the request.
const (
	ReleasePath          = "/quarantine/release"
	FingerprintParameter = "fingerprint"
)

// ReleaseHandler returns a handler that releases a request from quarantine here and, as the nodes exchange
// their records, at all nodes.
func ReleaseHandler(suspects *quarantine.Table) http.Handler {
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
