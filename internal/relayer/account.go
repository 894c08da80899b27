package relayer

import (
	"sync"

	"github.com/egretwall/egretwall/internal/budgeter"
)

// account is a budgeter.Account for concurrent use.
type account struct {
	mu      sync.Mutex
	account *budgeter.Account
}

func newAccount(cfg budgeter.Config) *account {
	return &account{account: budgeter.New(cfg)}
}

func (a *account) connected(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.Connected(n)
}

func (a *account) upstreamConnected(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.UpstreamConnected(n)
}

func (a *account) crowded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.Crowded()
}

// admit reserves the bytes of a new request and reports whether there is room. The
// priority is asked for only while room is short.
func (a *account) admit(size int, priority func() int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := 0
	if a.account.Pressed(budgeter.Bytes(size)) {
		p = priority()
	}
	return a.account.Admit(budgeter.Bytes(size), p)
}

func (a *account) take(p budgeter.Purpose, size int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.Take(p, budgeter.Bytes(size))
}

func (a *account) release(p budgeter.Purpose, size int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.Release(p, budgeter.Bytes(size))
}

func (a *account) perCaller() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.account.PerCaller())
}

func (a *account) holdings() budgeter.Holdings {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.Holdings()
}
