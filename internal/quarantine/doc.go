// Package quarantine recognizes requests that crash the upstreams that run them.
package quarantine
