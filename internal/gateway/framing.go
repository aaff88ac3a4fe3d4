package gateway

import (
	"net/http"

	"github.com/marbleroad/marbleroad/internal/callers"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// checkFraming rejects a request that has both a Content-Length and a chunked body: what one parser reads as
// its body, another reads as a further request. If the header of a chunked request was not recorded
// completely, so that a Content-Length can't be ruled out, the request is accepted. In both cases the
// connection is closed with the response, so that nothing hidden behind the request is read.
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
