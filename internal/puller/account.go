package puller

import "context"

// Account counts what a process holds of bodies while they come.
type Account interface {
	// Begin begins to count a body that a peer sends. The account may call abort to give it up for
	// others.
	Begin(peer string, abort func()) Hold
}

// Hold is what is held of one body.
type Hold interface {
	// Take reserves n further bytes. It may wait for room, and fails without any.
	Take(n int) error
	// Close gives back all bytes.
	Close()
}

type accountKey struct{}

// WithAccount returns a context whose calls count their bodies.
func WithAccount(ctx context.Context, a Account) context.Context {
	return context.WithValue(ctx, accountKey{}, a)
}

// accountOf returns the account of a context, or one that counts nothing.
func accountOf(ctx context.Context) Account {
	if a, ok := ctx.Value(accountKey{}).(Account); ok {
		return a
	}
	return noAccount{}
}

type noAccount struct{}

func (noAccount) Begin(string, func()) Hold { return noAccount{} }

func (noAccount) Take(int) error { return nil }

func (noAccount) Close() {}
