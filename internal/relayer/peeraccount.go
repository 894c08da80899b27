package relayer

import (
	"github.com/egretwall/egretwall/internal/budgeter"
	"github.com/egretwall/egretwall/internal/puller"
)

// peerAccount counts bodies that the store and other processes send.
type peerAccount struct {
	account *account
}

// NewPeerAccount returns an account of its own, for a process without callers.
func NewPeerAccount(cfg budgeter.Config) puller.Account {
	return peerAccount{newAccount(cfg)}
}

// PeerAccount returns the account of the bodies that the store and other processes send.
func (g *Gateway) PeerAccount() puller.Account {
	return peerAccount{g.account}
}

// Begin implements puller.Account.
func (a peerAccount) Begin(peer string, abort func()) puller.Hold {
	return peerHold{a.account.newIntake(budgeter.Control, sender(peer), abort)}
}

// peerHold is the intake of a body as a puller.Hold.
type peerHold struct {
	intake *intake
}

// Take implements puller.Hold.
func (h peerHold) Take(n int) error { return h.intake.take(n) }

// Close implements puller.Hold.
func (h peerHold) Close() { h.intake.close() }
