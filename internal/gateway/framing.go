package gateway

import (
	"net/http"

	"github.com/marbleroad/marbleroad/internal/callers"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// checkFraming rejects a request whose framing is ambiguous: what one parser reads as its body, another
// reads as a further request. Where this can't be decided, the connection is closed with the response, so
// that nothing hidden behind the request is read.
func checkFraming(w http.ResponseWriter, r *http.Request) *verdict.Error {
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
