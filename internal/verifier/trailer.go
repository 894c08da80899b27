package verifier

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// CheckTrailer makes the body of a response fail at its end if the names of the fields that
// follow the last chunk are not valid.
func CheckTrailer(resp *http.Response) {
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailerChecker{ReadCloser: resp.Body, response: resp}
	}
}

// trailerChecker is the body of a response in chunks.
type trailerChecker struct {
	io.ReadCloser
	response *http.Response
}

// Read reads from the body.
func (c *trailerChecker) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		for name := range c.response.Trailer {
			if !httpguts.ValidHeaderFieldName(name) {
				return n, &BrokenError{Reason: fmt.Sprintf("trailer has a field named %q", name)}
			}
		}
	}
	return n, err
}
