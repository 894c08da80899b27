package sharer

// FloorShare is the least part of the served share of all requests that a class of requests
// or a workspace is served.
const FloorShare = 0.35

// floorRequests bounds what a Floor remembers.
const floorRequests = 4

// Floor tells when a request of a class that yields to more urgent ones is due all the same,
// so that the class is never served much more seldom than the others. Its zero value is
// ready for use.
type Floor struct {
	owed float64 // requests
}

// Arrive records an arrived request of the class. The share is that of all requests that
// are served, from 0 to 1.
func (f *Floor) Arrive(share float64) {
	f.owed = min(f.owed+FloorShare*share, floorRequests)
}

// Serve records that a request of the class was served, or that it will be.
func (f *Floor) Serve() {
	f.owed = max(f.owed-1, -floorRequests)
}

// Withdraw takes back a Serve.
func (f *Floor) Withdraw() {
	f.owed = min(f.owed+1, floorRequests)
}

// Due reports whether a request of the class should go before others.
func (f *Floor) Due() bool {
	return f.owed >= 1
}
