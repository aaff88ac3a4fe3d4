package relay

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	retryAfterHeader = "Retry-After"
	// maxSeconds is close to the longest time.Duration.
	maxSeconds = 9e9
)

// RetryAfter parses the time for which an upstream that refused a request asks for no further ones: seconds,
// with or without a fraction, or a date (RFC 9110, 10.2.3). It returns zero when the header has no such field.
func RetryAfter(h http.Header) (time.Duration, error) {
	text, given, err := SingleValue(h, retryAfterHeader)
	if !given || err != nil {
		return 0, err
	}
	if date, err := http.ParseTime(text); err == nil {
		return max(untilDate(date, h), 0), nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, errors.Newf("%s is neither a number of seconds nor a date: %.40q", retryAfterHeader, text)
	}
	return time.Duration(min(seconds, maxSeconds) * float64(time.Second)), nil
}

// untilDate returns the time from the response's Date to the given date, or from this VM's time if the
// response has no valid Date.
func untilDate(date time.Time, h http.Header) time.Duration {
	if sentAt, err := http.ParseTime(h.Get("Date")); err == nil {
		return date.Sub(sentAt)
	}
	return time.Until(date)
}

// SingleValue returns the value of a header field, and whether the header has the field. A field that is
// given several times must have the same value each time.
func SingleValue(h http.Header, name string) (text string, given bool, err error) {
	values := h.Values(name)
	for i, value := range values {
		value = strings.TrimSpace(value)
		if i > 0 && value != text {
			return "", true, errors.Newf("%s is given twice: %.40q and %.40q", name, text, value)
		}
		text = value
	}
	return text, len(values) > 0, nil
}
