// Package verifier tells whole and valid HTTP responses from broken ones, before anything in
// them counts.
//
// Usage:
//
//	conn := verifier.NewConn(tcp)
//	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
//	client := verifier.NewClient(&http.Transport{})
//
// A server in trouble may send anything. A response that is broken tells nothing: it is no
// success, no refusal and no failure, so its request may have run.
package verifier
