package gateway

import (
	"net/http"

	"github.com/marbleroad/marbleroad/internal/callers"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// framing refuses a request that may be read in two ways: one reader's body is a request of
// its own for another. Where that can't be told, the connection ends with the answer, so that nothing
// hidden behind the request is read.
func framing(w http.ResponseWriter, r *http.Request) *verdict.Error {
	seen, known := callers.TakeLengthHeader(r)
	if !known || len(r.TransferEncoding) == 0 || seen == callers.LengthHeaderAbsent {
		return nil
	}
	w.Header().Set("Connection", "close")
	if seen == callers.LengthHeaderUnknown {
		return nil
	}
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusBadRequest, Code: codeBadBody, Detail: "the request names a length and comes in chunks"}
}
