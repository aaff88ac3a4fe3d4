package httpcheck

import "testing"

// TestHeadIsScannedInAnyPieces guards against a scan that depends on how a head arrives, that takes a body for a head, or
// that takes a valid name for an invalid one.
func TestHeadIsScannedInAnyPieces(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\n"
	for head, invalid := range map[string]bool{
		"HTTP/1.1 200 OK\r\nA-b_1!: x\r\nEmpty:\r\n\r\nno field\r\n\r\n":  false,
		"HTTP/1.1 200\nA: x: y z\n folded: x\n\tand this\n\nno field":     false,
		interim + "A: x\r\n\r\nHTTP/1.1 200 OK\r\nA: x\r\n\r\nno field\n": false,
		interim + "A b: x\r\n\r\nHTTP/1.1 200 OK\r\nA: x\r\n\r\n":         true,
		"HTTP/1.1 101 Switching Protocols\r\n\r\nno field\r\n":            false,
		"HTTP/1.1 200 OK\r\nA: x\r\nA : x\r\n\r\n":                        true,
		"HTTP/1.1 200 OK\r\nA\x01: x\r\n\r\n":                             true,
		"HTTP/1.1 200 OK\r\nA\tb: x\r\n\r\n":                              true,
		"HTTP/1.1 200 OK\r\n: x\r\n\r\n":                                  true,
		"HTTP/1.1 200 OK\r\nA\r\n : x\r\n\r\n":                            true,
	} {
		for size := 1; size <= len(head); size++ {
			var s headScanner
			for start := 0; start < len(head); start += size {
				s.scan([]byte(head[start:min(start+size, len(head))]))
			}
			if s.invalidName != invalid || s.part != headEnded {
				t.Errorf("%q in pieces of %d: invalid %t, part %d", head, size, s.invalidName, s.part)
				break
			}
		}
	}
}

// TestTransferEncodingIsFound guards against a field that is overlooked as it is written otherwise, or that is found in a
// longer name, in a value, in an interim response or in a body.
func TestTransferEncodingIsFound(t *testing.T) {
	const status = "HTTP/1.0 200 OK\r\n"
	for head, found := range map[string]bool{
		status + "Transfer-Encoding: chunked\r\n\r\n":                          true,
		status + "A: x\r\ntransfer-ENCODING:chunked\r\n\r\n":                   true,
		status + "Transfer-Encoding:\r\n chunked\r\n\r\n":                      true,
		status + "A: x\r\n\r\nTransfer-Encoding: chunked\r\n":                  false,
		status + "Transfer-Encoding-A: x\r\n\r\n":                              false,
		status + "ATransfer-Encoding: x\r\n\r\n":                               false,
		status + "A: Transfer-Encoding: x\r\n Transfer-Encoding: x\r\n\r\n":    false,
		"HTTP/1.0 103 Early\r\nTransfer-Encoding: x\r\n\r\n" + status + "\r\n": false,
	} {
		for size := 1; size <= len(head); size++ {
			var s headScanner
			for start := 0; start < len(head); start += size {
				s.scan([]byte(head[start:min(start+size, len(head))]))
			}
			if s.hasEncoding != found || s.invalidName {
				t.Errorf("%q in pieces of %d: found %t, invalid name %t", head, size, s.hasEncoding, s.invalidName)
				break
			}
		}
	}
}
