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
	flag.Parse()
	if err := persist(flag.Arg(0), *key, *body, *patience); err != nil {
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
func persist(url, key, body string, patience time.Duration) error {
	end := time.Now().Add(patience)
	for {
		err := call(url, key, body)
		var refused refusedError
		if !errors.As(err, &refused) || time.Now().Add(refused.after).After(end) {
			return err
		}
		time.Sleep(refused.after)
	}
}

func call(url, key, body string) error {
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key)
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
