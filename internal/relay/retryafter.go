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
	// mostSeconds is about the longest time.Duration.
	mostSeconds = 9e9
)

// RetryAfter reads for how long an upstream that refused a request wants no more of them: seconds, with a
// fraction or not, or a date (RFC 9110, 10.2.3). It is zero when the upstream does not say.
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
	return time.Duration(min(seconds, mostSeconds) * float64(time.Second)), nil
}

// untilDate is the time until a moment by the clock of who made the answer, or by this VM's if it does
// not say.
func untilDate(moment time.Time, h http.Header) time.Duration {
	if made, err := http.ParseTime(h.Get("Date")); err == nil {
		return moment.Sub(made)
	}
	return time.Until(moment)
}

// SingleValue is the one value of a header field; given more than once it must say the same.
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
