package kv

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// repeatingStore answers every page with the same items.
type repeatingStore struct{ Store }

func (repeatingStore) Range(context.Context, string, string) (Page, error) {
	time.Sleep(time.Millisecond)
	return Page{Items: []Item{{Key: "servers/\ufffd"}}, More: true, Revision: 3}, nil
}

// TestPagesThatRepeat guards against a list that never ends, as after a page
// whose last key was changed on its way.
func TestPagesThatRepeat(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() {
		_, _, err := List(ctx, repeatingStore{}, "servers/")
		done <- err
	}()
	select {
	case err := <-done:
		assert.ErrorIs(t, err, ErrUnreadable)
	case <-ctx.Done():
		t.Fatal("the list does not end")
	}
}
