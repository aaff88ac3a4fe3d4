// Command caller sends one request as a caller would and prints the response as
// it arrives. It is used by the demo and is not part of the product.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

func main() {
	key := flag.String("key", "", "bearer key of the team")
	body := flag.String("body", "", "JSON body; empty sends a GET")
	retryWindow := flag.Duration("patience", 10*time.Second, "how long to retry rejected requests, each after the response's Retry-After")
	host := flag.String("host", "", "Host header of the request; empty for the host of the URL")
	extra := make(http.Header)
	flag.Func("header", "additional header, as NAME: VALUE; may be repeated", func(text string) error {
		name, value, ok := strings.Cut(text, ":")
		if !ok {
			return errors.New("not NAME: VALUE")
		}
		extra.Add(strings.TrimSpace(name), strings.TrimSpace(value))
		return nil
	})
	flag.Parse()
	c := caller{key: *key, body: *body, host: *host, extra: extra}
	if err := c.callWithRetries(flag.Arg(0), *retryWindow); err != nil {
		fmt.Fprintln(os.Stderr, "caller:", err)
		os.Exit(1)
	}
}

// refusedError is a rejection that says when to retry.
type refusedError struct {
	status     string
	retryAfter time.Duration
}

// Error implements error.
func (e refusedError) Error() string { return "response status " + e.status }

// callWithRetries sends the request, and sends it again after each rejection's Retry-After until the next retry would
// fall outside the retry window.
func (c caller) callWithRetries(url string, retryWindow time.Duration) error {
	end := time.Now().Add(retryWindow)
	for {
		err := c.call(url)
		var refused refusedError
		if !errors.As(err, &refused) || time.Now().Add(refused.retryAfter).After(end) {
			return err
		}
		time.Sleep(refused.retryAfter)
	}
}

// caller holds the request to send.
type caller struct {
	key, body, host string
	extra           http.Header
}

// call sends the request once and prints the response. It returns a refusedError if the response has a Retry-After.
func (c caller) call(url string) error {
	method := http.MethodGet
	if c.body != "" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, url, strings.NewReader(c.body))
	if err != nil {
		return err
	}
	req.Host = c.host
	for name, values := range c.extra {
		req.Header[name] = values
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && resp.StatusCode != http.StatusOK {
		return refusedError{status: resp.Status, retryAfter: time.Duration(seconds) * time.Second}
	}
	if _, err := io.Copy(os.Stdout, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("response status %s", resp.Status)
	}
	return nil
}
