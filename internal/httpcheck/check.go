package httpcheck

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid means that what a server sent is no valid HTTP response. Nothing in it may be used, also not a statement that
// its request has not run.
var ErrInvalid = errors.New("the server did not send a valid HTTP response")

const (
	// minStatus and maxStatus bound the status of a final response (RFC 9110, section 15).
	minStatus = 200
	maxStatus = 599
)

// check returns an error for a response that is not valid. major is the version of HTTP that its connection carries.
// net/http accepts any version that it can parse, and takes the framing from it.
func check(resp *http.Response, major int) error {
	switch {
	case resp.ProtoMajor != major:
		return errors.Wrapf(ErrInvalid, "version %.20q", resp.Proto)
	case resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
		return errors.Wrapf(ErrInvalid, "status %.20q", resp.Status)
	}
	return checkNames(resp.Header)
}

// checkNames returns an error if the name of a field is no token. net/http keeps names with blanks, and does not see that
// "Content-Length : 4" states a length.
func checkNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrInvalid, "field name %.40q", name)
		}
	}
	return nil
}
