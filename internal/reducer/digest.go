package reducer

import "github.com/cespare/xxhash/v2"

// digest hashes the parts of a request that must agree when its idempotency key
// is used again.
func (r *Request) digest() uint64 {
	h := xxhash.New()
	for _, part := range []string{string(r.Model), string(r.Service), r.Method, r.Path} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}
