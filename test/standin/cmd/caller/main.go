// Command caller sends one request as a caller would and prints the answer as
// it comes. It is for the demo and no part of the product.
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
	patience := flag.Duration("patience", 10*time.Second, "how long refused requests are sent again, each after the time that the answer names")
	host := flag.String("host", "", "host that the request names; empty for the address")
	extra := make(http.Header)
	flag.Func("header", "further header, NAME: VALUE; repeat for more", func(text string) error {
		name, value, ok := strings.Cut(text, ":")
		if !ok {
			return errors.New("not NAME: VALUE")
		}
		extra.Add(strings.TrimSpace(name), strings.TrimSpace(value))
		return nil
	})
	flag.Parse()
	c := caller{key: *key, body: *body, host: *host, extra: extra}
	if err := c.persist(flag.Arg(0), *patience); err != nil {
		fmt.Fprintln(os.Stderr, "caller:", err)
		os.Exit(1)
	}
}

// refusedError is a refusal that says when to come back.
type refusedError struct {
	status string
	after  time.Duration
}

// Error implements error.
func (e refusedError) Error() string { return "answered " + e.status }

// persist comes back after refusals, as they say.
func (c caller) persist(url string, patience time.Duration) error {
	end := time.Now().Add(patience)
	for {
		err := c.call(url)
		var refused refusedError
		if !errors.As(err, &refused) || time.Now().Add(refused.after).After(end) {
			return err
		}
		time.Sleep(refused.after)
	}
}

// caller is one request to send.
type caller struct {
	key, body, host string
	extra           http.Header
}

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
		return refusedError{status: resp.Status, after: time.Duration(seconds) * time.Second}
	}
	if _, err := io.Copy(os.Stdout, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("answered %s", resp.Status)
	}
	return nil
}
